"""Decide when an attempt is overdue, and when a second one is sent beside it.

The load is that of servers that accept requests and answer none for seconds, as gray
failures do: waiting for the end of an attempt costs its caller the whole answer, and
the other callers learn late which server fails.
"""

from math import inf

from ...records import RouteRule, RunAsUpload, RunIdempotent, RunOnce, ServiceLoad

__all__ = ["hedge_delay_s", "overdue_delay_s"]

# Few answers of sound servers take more than this multiple of the mean service time.
OVERDUE_RATIO = 2.5
# Before any answer of a service is known, an attempt is overdue after this share of the
# objective, so that a second one can still meet it.
OBJECTIVE_SHARE = 0.5
# From this share of busy slots on, silence is likely to be queueing at the servers, and
# more attempts would only add to it.
MAX_BUSY_SHARE = 0.8


def overdue_delay_s(route: RouteRule, load: ServiceLoad, *, slots: int) -> float:
    """Return after how many seconds an attempt is overdue, infinity for never.

    Only a route that states an objective has a time by which its callers expect an
    answer.
    """
    if route.objective_s == inf or load.busy >= MAX_BUSY_SHARE * slots:
        return inf
    if load.mean_service_s == 0.0:
        return OBJECTIVE_SHARE * route.objective_s
    return OVERDUE_RATIO * load.mean_service_s


def hedge_delay_s(
    route: RouteRule, load: ServiceLoad, *, slots: int, remaining_s: float
) -> float:
    """Return after how many seconds to send a second attempt, infinity for never.

    The request must be idempotent, and the second attempt must have time for an answer.
    """
    match route.run:
        case RunIdempotent():
            delay_s = overdue_delay_s(route, load, slots=slots)
            return delay_s if delay_s + load.mean_service_s < remaining_s else inf
        case RunOnce() | RunAsUpload():
            return inf
