"""Hold the shared view of the fleet: roster, confirmations, leases, statuses."""

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
    """Hold the platform's versions of configuration and roster; both only rise."""

    configuration: int = 0
    roster: int = 0


@frozen(kw_only=True)
class RosterChange:
    """Hold the step from the roster at version `before` to the next one.

    A host is in `left` if it removed itself after it had finished its work.
    """

    before: int
    joined: tuple[Host, ...] = ()
    removed: tuple[HostId, ...] = ()
    left: tuple[HostId, ...] = ()


@frozen(kw_only=True)
class Roster:
    """List the hosts that hold shares of the fleet's work at one version.

    `changes` lead from `base_hosts`, whose version some host has fenced, to
    `hosts`; they are empty where the version itself is fenced.
    """

    version: int = 0
    hosts: Map[HostId, Host] = Map()
    base_hosts: Map[HostId, Host] = field(default=Map(), repr=False)
    changes: tuple[RosterChange, ...] = field(default=(), repr=False)


@frozen(kw_only=True)
class ObservedObject:
    """Hold an object of the platform as seen at a local monotonic time.

    `as_of_s` is never later than the platform's answer: it is counted from the
    moment the read, or the first pull on the way here, was sent.
    """

    version: int
    content: bytes = field(repr=False)
    as_of_s: float


@frozen(kw_only=True)
class PeerView:
    """Hold the freshest sightings that came from other hosts."""

    configuration: ObservedObject | None = None
    roster: ObservedObject | None = None


@frozen(kw_only=True)
class HostStatus:
    """State what one host reports of itself; `sequence` rises with its content.

    `unheard` names hosts that this one exchanged messages with and that have
    fallen silent towards it; a host that is `serving` holds its lease.
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
    """Hold another host's status and when it was true by the local clock."""

    status: HostStatus
    as_of_s: float


@frozen(kw_only=True)
class JournalPosition:
    """Name a place in the journal of statuses that one process keeps."""

    journal: Incarnation
    position: int


@frozen(kw_only=True)
class HostStatuses:
    """Hold the latest status heard of each host.

    `position` counts changes of content, and `changed_at` holds its value at
    each host's last change; a later time alone changes neither.
    """

    by_host: Map[HostId, HostView] = Map()
    changed_at: Map[HostId, int] = field(default=Map(), repr=False)
    position: int = 0


@frozen(kw_only=True)
class HostContacts:
    """Hold local times at which hosts of the roster were met.

    `first_listed_s` is when the roster first showed a host, `last_contact_s` when a
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
    """Forbid keyed routes and spending, for the reason given."""

    reason: str


LeaseState = LeaseHeld | LeaseLapsed


@frozen(kw_only=True)
class PendingFence:
    """Hold a roster version that enough hosts reported at a local time."""

    version: int
    reported_at_s: float


@frozen(kw_only=True)
class Fence:
    """Hold the roster version below which no host can still hold a lease.

    A host that became a role's holder at this version or an earlier one may
    begin; `pending` holds later versions whose waiting time runs.
    """

    version: int = 0
    pending: tuple[PendingFence, ...] = ()
