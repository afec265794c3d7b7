"""Estimate the risk of a gray failure of a server from outcomes of real requests.

A server is healthy or gray (partly failing) and changes between the two at times.
Each outcome shifts the odds by its likelihood ratio; without outcomes the risk decays
to the baseline. A healthy server fails at times, so the recent good answers to all
hosts of the failure domain weigh against a first failure.
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

# Share of servers that are gray at any time; the platform documentation mentions some.
BASELINE_RISK = 0.15
# Share of a healthy server's answers that are errors, caused by the requests.
HEALTHY_FAILURE_RATIO = 0.02
GRAY_FAILURE_RATIO = 0.6  # share of a gray server's answers that are errors
RISK_DECAY_S = 10.0  # time constant; many gray states last longer than 9 s
MAX_RISK = 0.97  # limits the weight of a series of failures
MIN_RISK = 0.01  # a server that has just answered may have become gray since
# Window in which good answers are counted plus the delay of their reports, in seconds.
ANSWER_COUNT_LAG_S = 3.25

FAILURE_WEIGHT = log(GRAY_FAILURE_RATIO / HEALTHY_FAILURE_RATIO)
SUCCESS_WEIGHT = log((1.0 - GRAY_FAILURE_RATIO) / (1.0 - HEALTHY_FAILURE_RATIO))
PATH_FAILURE_WEIGHT = FAILURE_WEIGHT / 2.0  # the network path may be the cause


def record_outcome(
    states: ServerStates,
    server: ServerId,
    weight: float,
    *,
    now_s: float,
    answers: int = 0,
) -> ServerStates:
    """Return the states updated by an outcome with a log likelihood ratio `weight`.

    `answers` is the number of good answers of the server within the last seconds. It
    is ignored if they may date from before an earlier failure.
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
            remaining = exp(-max(0.0, now_s - at_s) / RISK_DECAY_S)
            return BASELINE_RISK + (risk - BASELINE_RISK) * remaining
        case _:
            return BASELINE_RISK


def select_riskiest(
    servers: Iterable[ServerId], states: ServerStates, *, share: float, now_s: float
) -> dict[ServerId, float]:
    """Return the riskiest share of the servers and their risks."""
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
