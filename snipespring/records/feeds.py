"""Define the feeds of named items that the platform's store publishes."""

from typing import Generic, TypeVar

from attrs import field, frozen
from immutables import Map

from .identity import Address, DomainName, HostId, ServiceName

__all__ = [
    "AvailableSpan",
    "AwaitedServers",
    "FeedUnavailable",
    "FeedChanges",
    "FeedGap",
    "FeedItem",
    "FeedListing",
    "FeedView",
    "InvalidItem",
    "HostCapacity",
    "PublishedHost",
    "PublishedServer",
    "RelayNotice",
    "StoreEra",
    "StoreReach",
    "StoreRelay",
    "RelayedVersion",
    "ServerChange",
    "ServerChanges",
    "ServerMark",
    "ServerQuery",
    "ServerWithdrawal",
]

T = TypeVar("T")


@frozen(kw_only=True)
class PublishedServer:
    """Describe a backend server as it registered itself.

    A server that restarts under the same `instance` has a later `born_ms`, in Unix
    milliseconds. The server is slow for `warmup_s` more seconds after it is read.
    """

    instance: str
    born_ms: int
    service: ServiceName
    address: Address
    domain: DomainName
    slots: int
    is_draining: bool
    warmup_s: float


@frozen(kw_only=True)
class HostCapacity:
    """State how many processor cores a host has and how fast its link is."""

    cores: float = 1.0
    link_mbps: float = 1000.0


@frozen(kw_only=True)
class PublishedHost:
    """State where a host of the fleet listens and what it can carry."""

    host_id: HostId
    domain: DomainName
    callers: Address
    peers: Address
    capacity: HostCapacity = HostCapacity()


@frozen(kw_only=True)
class InvalidItem:
    """Explain why an item cannot be used."""

    reason: str


@frozen(kw_only=True)
class FeedItem(Generic[T]):
    """Represent one named item at a revision of the store."""

    name: str
    revision: int
    content: T | InvalidItem


@frozen(kw_only=True)
class FeedListing(Generic[T]):
    """List all items at one revision of the store, read by some `calls`."""

    items: tuple[FeedItem[T], ...]
    revision: int
    era: int = 0
    calls: int = 1


@frozen(kw_only=True)
class FeedChanges(Generic[T]):
    """List the changes up to a revision, in order; None stands for a removed item."""

    changes: tuple[FeedItem[T | None], ...]
    revision: int
    era: int = 0


@frozen(kw_only=True)
class FeedGap:
    """Report that the store no longer has the changes; list all items again."""

    era: int = 0


@frozen(kw_only=True)
class FeedUnavailable:
    """Report that the store did not answer."""

    reason: str


@frozen(kw_only=True)
class AvailableSpan:
    """Record from when to when the store answered without an outage.

    Both are local monotonic times of answers.
    """

    since_s: float
    until_s: float


@frozen(kw_only=True)
class StoreEra:
    """Record the newest era that an answer of the store stated, None before any.

    The era rises by one whenever the store is restored from a backup, after which it
    issues the revisions since the backup again.
    """

    era: int | None = None


@frozen(kw_only=True)
class FeedView(Generic[T]):
    """Represent the items of a feed as last received.

    `changed` maps each item to the revision of the answer with its latest change, and
    holds every item that changed after `complete_after`. Times are local monotonic
    ones. `confirmed_s` is the time at which the latest answered request was sent,
    `removed_s` the time at which an item was found missing, and `available` the span
    in which the store answered the calls of this feed.

    `revision`, `complete_after` and `changed` belong to `era`. `restored_s` is the time
    of the first listing after the last restore of the store. `unrestored` names the
    items whose known state the store has not shown again since; servers among them are
    in use until `unrestored_until_s`. `withdrawn` maps servers that left or drained
    before a restore to the latest `born_ms` that is not used again; `refused` names
    those that the store still shows. `stated_version` is the newest configuration
    version that another host stated.

    A view with `is_stale` is from a listing that may be seconds old; it is not in force
    before a host that reaches the store has confirmed it in the same era.
    """

    items: Map[str, T] = field(default=Map(), repr=False)
    removed_s: Map[str, float] = field(default=Map(), repr=False)
    changed: Map[str, int] = field(default=Map(), repr=False)
    revision: int | None = None
    complete_after: int | None = None
    confirmed_s: float | None = None
    available: AvailableSpan | None = None
    era: int = 0
    restored_s: float | None = None
    unrestored: frozenset[str] = frozenset()
    unrestored_until_s: float | None = None
    withdrawn: Map[str, int] = field(default=Map(), repr=False)
    refused: frozenset[str] = frozenset()
    stated_version: int = 0
    is_stale: bool = False


@frozen(kw_only=True)
class RelayedVersion:
    """Record the configuration version that the store confirmed to another host.

    The confirming request was sent at the local time `confirmed_s` or later, and the
    latest request that the store answered to that host at `reached_s` or later. With
    `is_store_behind`, a restore of the store has lost the version.
    """

    version: int
    confirmed_s: float
    reached_s: float
    is_store_behind: bool = False


@frozen(kw_only=True)
class StoreReach:
    """Record when the latest probe that the store answered was sent.

    `available` is the span in which the store answered probes, `recovered_s` the time
    of the latest answer after probes that had failed.
    """

    reached_s: float | None = None
    available: AvailableSpan | None = None
    recovered_s: float | None = None


@frozen(kw_only=True)
class ServerMark:
    """State the revision up to which a host knows the registered servers.

    `withdrawn` counts the servers that the host knows not to use again.
    """

    revision: int
    era: int = 0
    withdrawn: int = 0


@frozen(kw_only=True)
class AwaitedServers:
    """Record since when this host awaits the changes up to a revision."""

    revision: int
    since_s: float
    era: int = 0


@frozen(kw_only=True)
class ServerQuery:
    """Ask a host for the changes to servers after a revision of the store.

    A host that knows a later era answers with all servers. `withdrawn` counts the
    withdrawn servers that the asking host knows. With `is_first`, the sender has a
    stale listing only, and a complete list will do.
    """

    sender: HostId
    after: int
    is_first: bool = False
    era: int = 0
    withdrawn: int = 0


@frozen(kw_only=True)
class ServerChange:
    """Represent the latest state of one registered server; None if it has left."""

    name: str
    server: PublishedServer | None


@frozen(kw_only=True)
class ServerWithdrawal:
    """Name a server that left or drained before a restore; do not use it again."""

    name: str
    born_ms: int


@frozen(kw_only=True)
class ServerChanges:
    """List the servers that changed after one revision and up to another.

    With `is_complete`, all servers that were registered at `until` are listed: one that
    is absent has left, or has not been written again if `era` is new to the receiver.

    `recovered_age_s` is the time in seconds since the store recovered from an outage as
    far as the sender knows, None before its first answer. Older builds rely on it.
    """

    sender: HostId
    after: int
    until: int
    recovered_age_s: float | None
    changes: tuple[ServerChange, ...] = ()
    is_complete: bool = False
    era: int = 0
    withdrawn: tuple[ServerWithdrawal, ...] = ()


@frozen(kw_only=True)
class StoreRelay:
    """Indicate whether this host queries the store for its failure domain.

    A host that does not query the store uses what a watching host relays to it.
    `awaited` is None while this host knows all changes to servers that it heard of.
    `available` is the span in which other hosts are known to have reached the store,
    `servers` the latest mark that a host which knows the servers has relayed.
    `stated_version` is the newest configuration version that another host stated.
    """

    is_watcher: bool = False
    relayed: RelayedVersion | None = None
    awaited: AwaitedServers | None = None
    available: AvailableSpan | None = None
    stated_version: int = 0
    servers: ServerMark | None = None


@frozen(kw_only=True)
class RelayNotice:
    """State what of the relay the followers of the store react to at once.

    `version` is the newest version of the configuration that another host relayed or
    stated, `awaited` the revision up to which changes to servers are awaited in
    `awaited_era`; 0 stands for none. With `is_reach_relayed`, another host has stated
    when it reached the store.
    """

    is_watcher: bool = False
    version: int = 0
    awaited: int = 0
    awaited_era: int = 0
    is_store_behind: bool = False
    is_reach_relayed: bool = False
