"""Hold the stages of a graceful stop."""

from attrs import frozen

__all__ = ["Leaving", "Serving", "StopState"]


@frozen(kw_only=True)
class Serving:
    """State that the host takes work."""


@frozen(kw_only=True)
class Leaving:
    """State that the host is stopping and when it stops listening.

    `until_s` is a reading of the monotonic clock.
    """

    until_s: float


StopState = Serving | Leaving
