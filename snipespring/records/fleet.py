"""Hold the shared view of the fleet: roster, confirmations, leases, statuses."""

from attrs import frozen
from immutables import Map

from .identity import Host, HostId, Incarnation

__all__ = [
    "Confirmation",
    "HostStatus",
    "HostStatuses",
    "HostView",
    "LeaseHeld",
    "LeaseLapsed",
    "LeaseState",
    "Roster",
    "Versions",
]


@frozen(kw_only=True)
class Versions:
    """Hold the platform's versions of configuration and roster; both only rise."""

    configuration: int = 0
    roster: int = 0


@frozen(kw_only=True)
class Roster:
    """List the hosts that hold shares of the fleet's work at one version."""

    version: int = 0
    hosts: Map[HostId, Host] = Map()


@frozen(kw_only=True)
class Confirmation:
    """State the latest platform versions as of a local monotonic time.

    `as_of_s` is never later than the true time of the platform's answer.
    """

    versions: Versions
    as_of_s: float


@frozen(kw_only=True)
class HostStatus:
    """State what one host reports of itself; `sequence` rises per incarnation."""

    host_id: HostId
    incarnation: Incarnation
    sequence: int
    versions: Versions
    leaving: bool = False
    confirmation_age_s: float | None = None


@frozen(kw_only=True)
class HostView:
    """Hold another host's status and when it was true by the local clock."""

    status: HostStatus
    as_of_s: float


@frozen(kw_only=True)
class HostStatuses:
    """Hold the latest status heard of each host."""

    by_host: Map[HostId, HostView] = Map()


@frozen(kw_only=True)
class LeaseHeld:
    """Allow this host to serve keyed routes and spend shares until a local time."""

    until_s: float


@frozen(kw_only=True)
class LeaseLapsed:
    """Forbid keyed routes and spending, for the reason given."""

    reason: str


LeaseState = LeaseHeld | LeaseLapsed
