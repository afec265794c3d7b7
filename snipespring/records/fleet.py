"""Define the fleet state that hosts share: roster, versions, leases and statuses."""

from attrs import field, frozen
from immutables import Map

from .identity import Host, HostId, Incarnation

__all__ = [
    "Fence",
    "HostContacts",
    "HostStatus",
    "HostStatuses",
    "HostView",
    "JournalPosition",
    "LeaseHeld",
    "LeaseLapsed",
    "LeaseState",
    "PeerView",
    "PendingFence",
    "Roster",
    "RosterChange",
    "ObservedObject",
    "Versions",
]


@frozen(kw_only=True)
class Versions:
    """Give the platform's versions of configuration and roster; both only rise."""

    configuration: int = 0
    roster: int = 0


@frozen(kw_only=True)
class RosterChange:
    """Describe the step from the roster at version `before` to the next one.

    A host is in `left` if it removed itself after it had finished its work.
    """

    before: int
    joined: tuple[Host, ...] = ()
    removed: tuple[HostId, ...] = ()
    left: tuple[HostId, ...] = ()


@frozen(kw_only=True)
class Roster:
    """List the hosts among which the fleet's work is divided at one version.

    `changes` lead from `base_hosts` to `hosts`. Some host has found that all leases of
    versions older than that of `base_hosts` have ended (it is fenced). `changes` are
    empty if this holds for the present version.
    """

    version: int = 0
    hosts: Map[HostId, Host] = Map()
    base_hosts: Map[HostId, Host] = field(default=Map(), repr=False)
    changes: tuple[RosterChange, ...] = field(default=(), repr=False)


@frozen(kw_only=True)
class ObservedObject:
    """Represent an object of the platform as read at a local monotonic time.

    `as_of_s` is never later than the platform's answer: it is the time at which the
    read was sent, or the time of the first pull by which the object came here.
    """

    version: int
    content: bytes = field(repr=False)
    as_of_s: float


@frozen(kw_only=True)
class PeerView:
    """Record the latest versions of the platform's objects that other hosts sent."""

    configuration: ObservedObject | None = None
    roster: ObservedObject | None = None


@frozen(kw_only=True)
class HostStatus:
    """Report a host's own state; `sequence` rises whenever the content changes.

    `unheard` names hosts that this one exchanged messages with and that have since
    stopped sending any. A host that is `serving` holds its lease.
    """

    host_id: HostId
    incarnation: Incarnation
    sequence: int
    versions: Versions
    leaving: bool = False
    unheard: tuple[HostId, ...] = ()
    serving: bool = True


@frozen(kw_only=True)
class HostView:
    """Record another host's status and the local time at which it was true."""

    status: HostStatus
    as_of_s: float


@frozen(kw_only=True)
class JournalPosition:
    """Identify a position in the journal of statuses of one process."""

    journal: Incarnation
    position: int


@frozen(kw_only=True)
class HostStatuses:
    """Map each host to its latest received status.

    `position` counts changes of content, and `changed_at` holds its value at each
    host's last change. A status that differs only in its time changes neither.
    """

    by_host: Map[HostId, HostView] = Map()
    changed_at: Map[HostId, int] = field(default=Map(), repr=False)
    position: int = 0


@frozen(kw_only=True)
class HostContacts:
    """Record when hosts of the roster were first listed and last active.

    `first_listed_s` is when the roster first listed a host, `last_contact_s` when a
    message last came from it over a link of this host.
    """

    first_listed_s: Map[HostId, float] = Map()
    last_contact_s: Map[HostId, float] = Map()


@frozen(kw_only=True)
class LeaseHeld:
    """Allow this host to serve keyed routes and spend shares until a local time."""

    until_s: float


@frozen(kw_only=True)
class LeaseLapsed:
    """Forbid this host to serve keyed routes and to spend shares."""

    reason: str


LeaseState = LeaseHeld | LeaseLapsed


@frozen(kw_only=True)
class PendingFence:
    """Record a roster version and the local time at which enough hosts reported it."""

    version: int
    reported_at_s: float


@frozen(kw_only=True)
class Fence:
    """Give the roster version below which no host can still hold a lease.

    A host that obtained a role at this version or an earlier one may begin to perform
    it. `pending` contains later versions whose waiting time has not ended.
    """

    version: int = 0
    pending: tuple[PendingFence, ...] = ()
