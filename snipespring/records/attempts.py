"""Define attempts that wait for a backend server's answer."""

from math import inf

from attrs import frozen
from immutables import Map

__all__ = ["AttemptWatch", "RunningAttempt", "RunningAttempts"]


@frozen(kw_only=True)
class RunningAttempt:
    """Describe an attempt that waits for a server.

    `end_s` is the monotonic time at which the attempt must end, `overdue_s` the one
    from which its answer is overdue.
    """

    attempt_id: str
    end_s: float
    overdue_s: float = inf


@frozen(kw_only=True)
class RunningAttempts:
    """List all attempts under way by id."""

    by_id: Map[str, RunningAttempt] = Map()


@frozen(kw_only=True)
class AttemptWatch:
    """Indicate whether a timer checks the running attempts."""

    is_active: bool = False
