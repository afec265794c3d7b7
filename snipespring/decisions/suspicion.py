"""Estimate, from outcomes of real work, the risk that a server fails grayly.

A server is sound or gray and changes between the two now and then. Each outcome
moves the odds by its likelihood ratio; without outcomes they go back to what is
usual. The good answers that all hosts of a failure domain had lately weigh against
a first failure, which a sound server has now and then.
"""

from collections.abc import Iterable
from math import exp, inf, log

from ..records import ServerId, ServerStates, ServerSuspected

__all__ = ["FAILURE", "PATH_FAILURE", "SUCCESS", "note_outcome", "risk_of", "riskiest"]

USUAL_RISK = 0.15  # servers that are gray at any time; pages of the platform name some
SOUND_FAILURES = 0.02  # of a sound server's answers, which are errors of its work
GRAY_FAILURES = 0.6  # of a gray server's answers
GRAY_TIME_S = 10.0  # gray states last several seconds, many longer than nine
MAX_RISK = 0.97  # bounds how much a run of failures weighs
MIN_RISK = 0.01  # of a server that answered just now: it may turn gray since
ANSWERS_LAG_S = 2.75  # the window of the answers counted, and their way here

FAILURE = log(GRAY_FAILURES / SOUND_FAILURES)
SUCCESS = log((1.0 - GRAY_FAILURES) / (1.0 - SOUND_FAILURES))
PATH_FAILURE = FAILURE / 2.0  # the network may be at fault instead


def note_outcome(
    states: ServerStates,
    server: ServerId,
    weight: float,
    *,
    now_s: float,
    answers: int = 0,
) -> ServerStates:
    """Return the states with one more outcome; `weight` is a log likelihood ratio.

    `answers` counts the good answers of the server within the last seconds; those
    from before an earlier failure say nothing of the time since.
    """
    risk = risk_of(states, server, now_s=now_s)
    failed_s = _last_failure_s(states, server)
    if weight > 0.0:
        if now_s - failed_s > ANSWERS_LAG_S:
            risk = min(risk, _risk_after(answers))
        failed_s = now_s
    odds = log(risk / (1.0 - risk)) + weight
    risk = min(MAX_RISK, 1.0 / (1.0 + exp(-odds)))
    state = ServerSuspected(risk=risk, at_s=now_s, failed_s=failed_s)
    return ServerStates(by_server=states.by_server.set(server, state))


def risk_of(states: ServerStates, server: ServerId, *, now_s: float) -> float:
    """Return the probability that the server is gray now."""
    match states.by_server.get(server):
        case ServerSuspected(risk=risk, at_s=at_s):
            kept = exp(-max(0.0, now_s - at_s) / GRAY_TIME_S)
            return USUAL_RISK + (risk - USUAL_RISK) * kept
        case _:
            return USUAL_RISK


def riskiest(
    servers: Iterable[ServerId], states: ServerStates, *, share: float, now_s: float
) -> dict[ServerId, float]:
    """Return the riskiest share of the servers with their risks."""
    risks = {server: risk_of(states, server, now_s=now_s) for server in servers}
    ranked = sorted(risks, key=lambda server: -risks[server])
    return {server: risks[server] for server in ranked[: int(share * len(ranked))]}


def _last_failure_s(states: ServerStates, server: ServerId) -> float:
    match states.by_server.get(server):
        case ServerSuspected(failed_s=failed_s):
            return failed_s
        case _:
            return -inf


def _risk_after(answers: int) -> float:
    odds = log(USUAL_RISK / (1.0 - USUAL_RISK)) + answers * SUCCESS
    return max(MIN_RISK, 1.0 / (1.0 + exp(-odds)))
