"""Hold the attempts that wait for a server's answer."""

from attrs import frozen
from immutables import Map

__all__ = ["AttemptWatch", "RunningAttempt", "RunningAttempts"]


@frozen(kw_only=True)
class RunningAttempt:
    """Hold one attempt and the local monotonic time at which it must end."""

    attempt_id: str
    end_s: float


@frozen(kw_only=True)
class RunningAttempts:
    """Hold every attempt under way by its id."""

    by_id: Map[str, RunningAttempt] = Map()


@frozen(kw_only=True)
class AttemptWatch:
    """State whether running attempts are looked at on a timer."""

    is_active: bool = False
