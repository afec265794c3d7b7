"""Record the evidence that each attempt gives about its server."""

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
    Histogram,
    OutcomeCounts,
    SendBroken,
    ServerEvidence,
    ServerId,
    ServerLoad,
    ServerLoads,
    ServerReport,
    ServiceName,
    ShedByServer,
)
from ..sheds import is_shed_with_free_slots
from .histograms import add_duration

__all__ = [
    "list_services",
    "make_server_reports",
    "record_attempt_end",
    "record_attempt_start",
]

FIRST_CLIENT_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
NO_EVIDENCE = ServerEvidence()
NO_LOAD = ServerLoad()


def record_attempt_start(
    evidence: Evidence, server: ServerId, attempt_id: str, now_s: float
) -> Evidence:
    """Return the evidence with one more attempt under way."""
    server_evidence = evidence.by_server.get(server, NO_EVIDENCE)
    server_evidence = evolve(
        server_evidence, started_s=server_evidence.started_s.set(attempt_id, now_s)
    )
    return evolve(evidence, by_server=evidence.by_server.set(server, server_evidence))


def record_attempt_end(
    evidence: Evidence,
    server: ServerId,
    attempt_id: str,
    result: BackendResult,
    now_s: float,
) -> Evidence:
    """Return the evidence after the end of an attempt.

    Client errors and sheds for lack of slots say nothing about the server's health.
    """
    server_evidence = evidence.by_server.get(server, NO_EVIDENCE)
    started_s = server_evidence.started_s.get(attempt_id, now_s)
    counts = _count_result(server_evidence.counts, result, now_s - started_s)
    server_evidence = evolve(
        server_evidence,
        counts=counts,
        started_s=_remove_start(server_evidence.started_s, attempt_id),
        idle_sheds=server_evidence.idle_sheds + is_shed_with_free_slots(result),
    )
    return evolve(evidence, by_server=evidence.by_server.set(server, server_evidence))


def list_services(evidence: Evidence) -> frozenset[ServiceName]:
    """Return the services that this host has sent requests to."""
    return frozenset(server.service for server in evidence.by_server)


def make_server_reports(
    evidence: Evidence, loads: ServerLoads, service: ServiceName, now_s: float
) -> tuple[ServerReport, ...]:
    """Return a report on each used server of a service as of now."""
    return tuple(
        _make_report(server, server_evidence, loads, now_s)
        for server, server_evidence in evidence.by_server.items()
        if server.service == service
    )


def _make_report(
    server: ServerId, server_evidence: ServerEvidence, loads: ServerLoads, now_s: float
) -> ServerReport:
    under_way = Histogram()
    for started_s in server_evidence.started_s.values():
        under_way = add_duration(under_way, now_s - started_s)
    load = loads.by_server.get(server, NO_LOAD).reported
    return ServerReport(
        server=server,
        counts=server_evidence.counts,
        under_way=under_way,
        draining=load is not None and load.draining,
    )


def _count_result(
    counts: OutcomeCounts, result: BackendResult, duration_s: float
) -> OutcomeCounts:
    match result:
        case Answered(status=status) if status >= FIRST_SERVER_ERROR_STATUS:
            return evolve(counts, errors=counts.errors + 1)
        case Answered(status=status) if status >= FIRST_CLIENT_ERROR_STATUS:
            return counts
        case Answered():
            return evolve(counts, answered=add_duration(counts.answered, duration_s))
        case ShedByServer() | AttemptCancelled():
            return counts
        case AnswerLate():
            return evolve(counts, late=add_duration(counts.late, duration_s))
        case ConnectFailed():
            return evolve(counts, unreachable=counts.unreachable + 1)
        case SendBroken() | AnswerBroken() | AnswerForeign():
            return evolve(counts, broken=counts.broken + 1)


def _remove_start(started_s: Map[str, float], attempt_id: str) -> Map[str, float]:
    return started_s.delete(attempt_id) if attempt_id in started_s else started_s
