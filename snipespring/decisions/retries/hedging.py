"""Decide when a second attempt is sent beside one that is overdue.

The load is that of servers that accept requests and answer none for seconds, as gray
failures do: waiting for the end of an attempt costs its caller the whole answer.
"""

from math import inf

from ...records import RouteLoad, RouteRule, RunAsUpload, RunIdempotent, RunOnce

__all__ = ["hedge_delay_s"]

# An answer is overdue after this multiple of the mean duration or so many mean absolute
# deviations beyond it, whichever is later: the work of some routes varies far more than
# that of others, and sound servers must seldom be overdue.
OVERDUE_RATIO = 2.5
OVERDUE_DEVIATIONS = 5.0
# Before any answer of a route is known, an attempt is overdue after this share of the
# objective, so that a second one can still meet it.
OBJECTIVE_SHARE = 0.5


def hedge_delay_s(
    route: RouteRule, load: RouteLoad | None, *, is_busy: bool, remaining_s: float
) -> float:
    """Return after how many seconds to send a second attempt, infinity for never.

    The request must be idempotent, and the second attempt must have time for an answer.
    """
    match route.run:
        case RunIdempotent():
            delay_s = _overdue_delay_s(route, load, is_busy=is_busy)
            answer_s = 0.0 if load is None else load.answer_s
            return delay_s if delay_s + answer_s < remaining_s else inf
        case RunOnce() | RunAsUpload():
            return inf


def _overdue_delay_s(
    route: RouteRule, load: RouteLoad | None, *, is_busy: bool
) -> float:
    """Return after how many seconds an attempt is overdue, infinity for never.

    Only a route that states an objective has a time by which its callers expect an
    answer. While the service `is_busy`, silence is likely to be queueing there.
    """
    if route.objective_s == inf or is_busy:
        return inf
    if load is None:
        return OBJECTIVE_SHARE * route.objective_s
    return max(
        OVERDUE_RATIO * load.answer_s,
        load.answer_s + OVERDUE_DEVIATIONS * load.deviation_s,
    )
