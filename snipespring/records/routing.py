"""Define this host's subsets of backend servers and constraints on the choice."""

from attrs import frozen
from immutables import Map

from .identity import DomainName, ServerId, ServiceName
from .rules import ServerRule

__all__ = [
    "Placement",
    "RecentOutcomes",
    "ServerSubset",
    "ServerSubsets",
    "SubsetMember",
]


@frozen(kw_only=True)
class SubsetMember:
    """Identify a server that this host may use and when it joined the subset.

    `since_s` is a monotonic time, 0 for an initial member.
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
    """Map each service to this host's subset of its servers."""

    by_service: Map[ServiceName, ServerSubset] = Map()


@frozen(kw_only=True)
class Placement:
    """Describe the constraints and preferences of one attempt's server choice.

    `repeatable` tells that the request may run more than once; only such attempts use
    servers on trial, and they accept servers with a higher risk of failure. The attempt
    stays in its failure domain while at most `local_queue_margin` requests beyond a
    server's slots would wait there. It accepts a risk of failure there that is up to
    `local_risk_margin` higher than elsewhere. Only servers in the `regions` are used,
    in any region for None.
    """

    domain: DomainName
    excluded: frozenset[ServerId] = frozenset()
    repeatable: bool = False
    local_queue_margin: int = 0
    local_risk_margin: float = 0.0
    regions: frozenset[str] | None = None


@frozen(kw_only=True)
class RecentOutcomes:
    """Give the rates of a service's good and failed attempts, on all hosts together."""

    good_per_s: float = 0.0
    failed_per_s: float = 0.0
