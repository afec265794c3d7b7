"""Define the states of a graceful stop."""

from attrs import frozen

__all__ = ["Leaving", "Serving", "StopState"]


@frozen(kw_only=True)
class Serving:
    """Indicate that the host accepts requests."""


@frozen(kw_only=True)
class Leaving:
    """Indicate that the host is stopping and stops listening at `until_s`.

    `until_s` is a monotonic time. A host that is `finished` has no request left and
    gives up its lease.
    """

    until_s: float
    finished: bool = False


StopState = Serving | Leaving
