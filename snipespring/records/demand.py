"""Define the demand on services and their room, as hosts count and share them."""

from attrs import field, frozen
from immutables import Map

from .identity import ServiceName

__all__ = ["URGENCIES", "DemandCounts", "DemandLog", "DemandSlice", "ServiceDemand"]

URGENCIES = 3  # less urgent requests count as the last of these


@frozen(kw_only=True)
class DemandCounts:
    """Count requests and observations of servers; empty tuples stand for zeros.

    Tuples by urgency begin with the most urgent. `offered_ms` sums the expected work of
    all requests received, in milliseconds, by urgency and within it by light and heavy
    requests. `firsts` counts first attempts, `wanted` the retries asked for and
    `retries` those sent. Of the servers that answered, `used_slots` of `slots` were in
    use while `waiting` requests waited; `full_sheds` counts sheds by full servers.
    """

    offered_ms: tuple[int, ...] = ()
    firsts: tuple[int, ...] = ()
    wanted: tuple[int, ...] = ()
    retries: tuple[int, ...] = ()
    slots: int = 0
    used_slots: int = 0
    waiting: int = 0
    full_sheds: int = 0


@frozen(kw_only=True)
class DemandSlice:
    """Hold the counts of a service in the slice of time with this number."""

    number: int
    counts: DemandCounts = field(factory=DemandCounts)


@frozen(kw_only=True)
class DemandLog:
    """Map each service to its slices of time, oldest first."""

    by_service: Map[ServiceName, tuple[DemandSlice, ...]] = Map()


@frozen(kw_only=True)
class ServiceDemand:
    """Sum the demand on a service over hosts.

    First attempts and retries count over the window of the retry budget,
    `earlier_firsts` over the window before it, everything else over a few seconds.
    """

    service: ServiceName
    counts: DemandCounts = field(factory=DemandCounts)
    earlier_firsts: int = 0
