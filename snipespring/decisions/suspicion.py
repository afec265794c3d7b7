"""Estimate, from outcomes of real work, the risk that a server fails grayly.

A server is sound or gray and changes between the two now and then. Each outcome
moves the odds by its likelihood ratio; without outcomes they go back to what is
usual. The good answers that all hosts of a failure domain had lately weigh against
a first failure, which a sound server has now and then.
"""

from collections.abc import Iterable
from math import exp, inf, log

from ..records import ServerId, ServerStates, ServerSuspected

__all__ = [
    "FAILURE_WEIGHT",
    "PATH_FAILURE_WEIGHT",
    "SUCCESS_WEIGHT",
    "record_outcome",
    "risk_of",
    "select_riskiest",
]

BASELINE_RISK = (
    0.15  # servers that are gray at any time; pages of the platform name some
)
HEALTHY_FAILURE_RATIO = (
    0.02  # of a sound server's answers, which are errors of its work
)
GRAY_FAILURE_RATIO = 0.6  # of a gray server's answers
RISK_DECAY_S = 10.0  # gray states last several seconds, many longer than nine
MAX_RISK = 0.97  # bounds how much a run of failures weighs
MIN_RISK = 0.01  # of a server that answered just now: it may turn gray since
ANSWER_COUNT_LAG_S = 2.75  # the window of the answers counted, and their way here

FAILURE_WEIGHT = log(GRAY_FAILURE_RATIO / HEALTHY_FAILURE_RATIO)
SUCCESS_WEIGHT = log((1.0 - GRAY_FAILURE_RATIO) / (1.0 - HEALTHY_FAILURE_RATIO))
PATH_FAILURE_WEIGHT = FAILURE_WEIGHT / 2.0  # the network may be at fault instead


def record_outcome(
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
        if now_s - failed_s > ANSWER_COUNT_LAG_S:
            risk = min(risk, _risk_after_answers(answers))
        failed_s = now_s
    odds = log(risk / (1.0 - risk)) + weight
    risk = min(MAX_RISK, 1.0 / (1.0 + exp(-odds)))
    state = ServerSuspected(risk=risk, at_s=now_s, failed_s=failed_s)
    return ServerStates(by_server=states.by_server.set(server, state))


def risk_of(states: ServerStates, server: ServerId, *, now_s: float) -> float:
    """Return the probability that the server is gray now."""
    match states.by_server.get(server):
        case ServerSuspected(risk=risk, at_s=at_s):
            kept = exp(-max(0.0, now_s - at_s) / RISK_DECAY_S)
            return BASELINE_RISK + (risk - BASELINE_RISK) * kept
        case _:
            return BASELINE_RISK


def select_riskiest(
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


def _risk_after_answers(answers: int) -> float:
    odds = log(BASELINE_RISK / (1.0 - BASELINE_RISK)) + answers * SUCCESS_WEIGHT
    return max(MIN_RISK, 1.0 / (1.0 + exp(-odds)))
