"""Keep the evidence that each attempt gives about its server."""

from attrs import evolve
from immutables import Map

from ...records import (
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
    AttemptCancelled,
    BackendResult,
    ConnectFailed,
    Evidence,
    SendBroken,
    ServerEvidence,
    ServerId,
    ShedByServer,
)

__all__ = ["record_end", "record_start"]

FIRST_SERVER_ERROR = 500
NO_EVIDENCE = ServerEvidence()


def record_start(
    evidence: Evidence, server: ServerId, attempt_id: str, now_s: float
) -> Evidence:
    """Return the evidence with an attempt under way."""
    held = evidence.by_server.get(server, NO_EVIDENCE)
    held = evolve(held, started_s=held.started_s.set(attempt_id, now_s))
    return evolve(evidence, by_server=evidence.by_server.set(server, held))


def record_end(
    evidence: Evidence,
    server: ServerId,
    attempt_id: str,
    result: BackendResult,
    now_s: float,
) -> Evidence:
    """Return the evidence with an attempt ended; a shed counts as neither."""
    held = evidence.by_server.get(server, NO_EVIDENCE)
    started_s = held.started_s.get(attempt_id, now_s)
    held = evolve(held, started_s=_without(held.started_s, attempt_id))
    held = _count(held, result, now_s - started_s)
    return evolve(evidence, by_server=evidence.by_server.set(server, held))


def _count(
    held: ServerEvidence, result: BackendResult, duration_s: float
) -> ServerEvidence:
    match result:
        case Answered(status=status) if status < FIRST_SERVER_ERROR:
            return evolve(
                held,
                succeeded=held.succeeded + 1,
                duration_sum_s=held.duration_sum_s + duration_s,
            )
        case ShedByServer() | AttemptCancelled():
            return held
        case (
            Answered()
            | ConnectFailed()
            | SendBroken()
            | AnswerLate()
            | AnswerBroken()
            | AnswerForeign()
        ):
            return evolve(held, failed=held.failed + 1)


def _without(started_s: Map[str, float], attempt_id: str) -> Map[str, float]:
    return started_s.delete(attempt_id) if attempt_id in started_s else started_s
