"""Hold the stages of a graceful stop."""

from attrs import frozen

__all__ = ["Leaving", "Serving", "StopState"]


@frozen(kw_only=True)
class Serving:
    """State that the host takes work."""


@frozen(kw_only=True)
class Leaving:
    """State that the host is stopping and when it stops listening.

    `until_s` is a reading of the monotonic clock; a host that is `finished` has
    no request left and gives up its lease.
    """

    until_s: float
    finished: bool = False


StopState = Serving | Leaving
