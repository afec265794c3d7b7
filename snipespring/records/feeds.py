"""Hold what the platform's store publishes, as feeds of named items."""

from typing import Generic, TypeVar

from attrs import field, frozen
from immutables import Map

from .identity import Address, DomainName, HostId, ServiceName

__all__ = [
    "FeedUnavailable",
    "FeedChanges",
    "FeedGap",
    "FeedItem",
    "FeedListing",
    "FeedView",
    "InvalidItem",
    "PublishedHost",
    "PublishedServer",
    "StoreRelay",
    "RelayedVersion",
]

T = TypeVar("T")


@frozen(kw_only=True)
class PublishedServer:
    """Hold what a backend server states of itself.

    A server that starts again under its `instance` has a later `born_ms`, Unix
    milliseconds; it is slow for `warmup_s` seconds from now.
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
class PublishedHost:
    """Hold where a host of the fleet listens."""

    host_id: HostId
    domain: DomainName
    callers: Address
    peers: Address


@frozen(kw_only=True)
class InvalidItem:
    """State why an item names nothing to use."""

    reason: str


@frozen(kw_only=True)
class FeedItem(Generic[T]):
    """Hold one named item at a revision of the store."""

    name: str
    revision: int
    content: T | InvalidItem


@frozen(kw_only=True)
class FeedListing(Generic[T]):
    """Carry every item at one revision of the store."""

    items: tuple[FeedItem[T], ...]
    revision: int


@frozen(kw_only=True)
class FeedChanges(Generic[T]):
    """Carry what changed up to a revision, in order; None stands for removed."""

    changes: tuple[FeedItem[T | None], ...]
    revision: int


@frozen(kw_only=True)
class FeedGap:
    """State that the store no longer knows what changed; a listing does."""


@frozen(kw_only=True)
class FeedUnavailable:
    """State that the store gave no answer."""

    reason: str


@frozen(kw_only=True)
class FeedView(Generic[T]):
    """Hold a feed as last heard.

    Times are local monotonic ones. `confirmed_s` is when the newest answered
    question was sent, `removed_s` when an item was found missing, and
    `recovered_s` when the store answered again after it had been away.
    """

    items: Map[str, T] = field(default=Map(), repr=False)
    removed_s: Map[str, float] = field(default=Map(), repr=False)
    revision: int | None = None
    confirmed_s: float | None = None
    recovered_s: float | None = None


@frozen(kw_only=True)
class RelayedVersion:
    """Hold which configuration the store confirmed to another host.

    `confirmed_s` is a local time before which the confirming question was not sent.
    """

    version: int
    confirmed_s: float


@frozen(kw_only=True)
class StoreRelay:
    """State whether this host asks the store for its failure domain.

    A host that does not relies on what a host that does relays to it.
    """

    is_watcher: bool = True
    relayed: RelayedVersion | None = None
