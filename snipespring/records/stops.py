"""Define the states of a graceful stop."""

from math import inf

from attrs import frozen

__all__ = ["Leaving", "Serving", "StopState"]


@frozen(kw_only=True)
class Serving:
    """Indicate that the host accepts requests."""


@frozen(kw_only=True)
class Leaving:
    """Indicate that the host is stopping and sends its last reply by `until_s`.

    Times are monotonic. Until `lenient_until_s`, a request is begun even if its
    deadline is later than `until_s`. A host that is `finished` begins no request any
    more and gives up its lease.
    """

    until_s: float
    lenient_until_s: float = -inf
    finished: bool = False


StopState = Serving | Leaving
