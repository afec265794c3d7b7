"""Hold which backend servers this host uses."""

from attrs import frozen
from immutables import Map

from .identity import DomainName, ServerId, ServiceName
from .rules import ServerRule

__all__ = ["Placement", "ServerSubset", "ServerSubsets", "SubsetMember"]


@frozen(kw_only=True)
class SubsetMember:
    """Hold a server that this host may use and when it joined the subset.

    `since_s` is a reading of the monotonic clock, 0 for a member from the start.
    """

    rule: ServerRule
    since_s: float = 0.0


@frozen(kw_only=True)
class ServerSubset:
    """List the servers of one service that this host may use.

    `in_flight_cap` bounds this host's requests and connections to each of them.
    """

    service: ServiceName
    members: tuple[SubsetMember, ...] = ()
    slots: int
    in_flight_cap: int


@frozen(kw_only=True)
class ServerSubsets:
    """Hold this host's subset of each service."""

    by_service: Map[ServiceName, ServerSubset] = Map()


@frozen(kw_only=True)
class Placement:
    """State what one attempt asks of its server.

    It stays in its failure domain while at most `local_queue_margin` requests more than
    a server has slots for would wait there, and accepts `local_risk_margin` more of failing
    there than elsewhere.
    """

    domain: DomainName
    excluded: frozenset[ServerId] = frozenset()
    repeatable: bool = False
    local_queue_margin: int = 0
    local_risk_margin: float = 0.0
