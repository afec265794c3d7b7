"""Provide the objects of the platform's store as feeds of records."""

from collections.abc import Callable
from typing import Generic, TypeVar

from attrs import define

from ..records import (
    Configuration,
    Evacuation,
    FeedChanges,
    FeedGap,
    FeedItem,
    FeedListing,
    FeedUnavailable,
    HostId,
    InvalidItem,
    ObjectAbsent,
    ObjectConflict,
    ObjectWritten,
    PlatformUnavailable,
    PublishedHost,
    PublishedServer,
    WriteUncertain,
)
from .objects import (
    decode_configuration,
    decode_evacuation,
    decode_host,
    decode_server,
    encode_host,
)
from .store import (
    ObjectChange,
    ObjectChanges,
    ObjectListing,
    ObjectStoreClient,
    StoredObject,
    StoreGap,
)

__all__ = [
    "HostRegistry",
    "ObjectFeed",
    "configuration_feed",
    "evacuation_feed",
    "read_stored_configuration",
    "server_feed",
]

T = TypeVar("T")

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
EVACUATION_KIND = "evacuations"
HOST_KIND = "snipespring-hosts"


@define(kw_only=True, eq=False)
class ObjectFeed(Generic[T]):
    """Read and watch the objects of one kind, decoded into records."""

    store: ObjectStoreClient
    kind: str
    decode: Callable[[StoredObject], T | InvalidItem]

    def list_items(
        self, *, may_be_stale: bool = False
    ) -> FeedListing[T] | FeedUnavailable:
        """Return every item; with `may_be_stale`, the listing may be seconds old."""
        match self.store.list_objects(self.kind, may_be_stale=may_be_stale):
            case PlatformUnavailable(reason=reason):
                return FeedUnavailable(reason=reason)
            case ObjectListing(
                objects=objects, revision=revision, era=era, pages=pages
            ):
                items = tuple(self._make_item(obj) for obj in objects)
                return FeedListing(items=items, revision=revision, era=era, calls=pages)

    def watch(
        self, *, after: int, wait_s: float
    ) -> FeedChanges[T] | FeedGap | FeedUnavailable:
        """Wait up to `wait_s` seconds for changes after the revision `after`.

        Return `FeedGap` if the store no longer has the changes since that revision.
        """
        match self.store.watch(self.kind, after=after, wait_s=wait_s):
            case PlatformUnavailable(reason=reason):
                return FeedUnavailable(reason=reason)
            case StoreGap(era=era):
                return FeedGap(era=era)
            case ObjectChanges(changes=changes, revision=revision, era=era):
                items = tuple(self._make_change(change) for change in changes)
                return FeedChanges(changes=items, revision=revision, era=era)

    def _make_item(self, obj: StoredObject) -> FeedItem[T]:
        return FeedItem(name=obj.name, revision=obj.revision, content=self.decode(obj))

    def _make_change(self, change: ObjectChange) -> FeedItem[T | None]:
        obj = change.obj
        content = None if change.is_removed else self.decode(obj)
        return FeedItem(name=obj.name, revision=obj.revision, content=content)


@define(kw_only=True, eq=False)
class HostRegistry:
    """Register this host in the store and list the registered hosts."""

    store: ObjectStoreClient

    def announce(self, host: PublishedHost) -> FeedUnavailable | None:
        """Write the host's addresses; return why it is not confirmed, or None."""
        spec = encode_host(host)
        match self.store.create(HOST_KIND, host.host_id, spec):
            case ObjectWritten():
                return None
            case ObjectConflict():
                return self._update(host)
            case PlatformUnavailable(reason=reason) | WriteUncertain(reason=reason):
                return FeedUnavailable(reason=reason)

    def probe(self, host_id: HostId) -> FeedUnavailable | None:
        """Read a host's own object; return why the store did not answer, or None.

        The object may be seconds old, as such a read costs least.
        """
        match self.store.read(HOST_KIND, host_id, may_be_stale=True):
            case StoredObject() | ObjectAbsent():
                return None
            case PlatformUnavailable(reason=reason):
                return FeedUnavailable(reason=reason)

    def is_registered(self, host: PublishedHost) -> bool | FeedUnavailable:
        """Return whether the store has the host's object as it is, by a stale read."""
        match self.store.read(HOST_KIND, host.host_id, may_be_stale=True):
            case StoredObject(content=content):
                return decode_host(host.host_id, content) == host
            case ObjectAbsent():
                return False
            case PlatformUnavailable(reason=reason):
                return FeedUnavailable(reason=reason)

    def feed(self) -> ObjectFeed[PublishedHost]:
        """Return the feed of registered hosts."""
        return ObjectFeed(
            store=self.store,
            kind=HOST_KIND,
            decode=lambda obj: decode_host(obj.name, obj.content),
        )

    def _update(self, host: PublishedHost) -> FeedUnavailable | None:
        current = self.store.read(HOST_KIND, host.host_id)
        match current:
            case StoredObject(content=content):
                if decode_host(host.host_id, content) == host:
                    return None
            case ObjectAbsent():
                return FeedUnavailable(reason="the host's object was deleted meanwhile")
            case PlatformUnavailable(reason=reason):
                return FeedUnavailable(reason=reason)
        result = self.store.replace(
            HOST_KIND,
            host.host_id,
            encode_host(host),
            expected=current.revision,
            era=current.era,
        )
        match result:
            case ObjectWritten():
                return None
            case _:
                return FeedUnavailable(reason=f"{result}")


def read_stored_configuration(
    store: ObjectStoreClient,
) -> Configuration | InvalidItem | FeedUnavailable:
    """Return the operators' newest configuration, or why there is none to read."""
    match store.read(CONFIGURATION_KIND, CONFIGURATION_NAME):
        case StoredObject(content=content):
            return decode_configuration(content)
        case ObjectAbsent():
            return InvalidItem(reason="there is none")
        case PlatformUnavailable(reason=reason):
            return FeedUnavailable(reason=reason)


def configuration_feed(store: ObjectStoreClient) -> ObjectFeed[Configuration]:
    """Return the feed of the operators' configuration."""
    return ObjectFeed(
        store=store,
        kind=CONFIGURATION_KIND,
        decode=lambda obj: decode_configuration(obj.content),
    )


def server_feed(store: ObjectStoreClient) -> ObjectFeed[PublishedServer]:
    """Return the feed of backend servers."""
    return ObjectFeed(
        store=store,
        kind=SERVER_KIND,
        decode=lambda obj: decode_server(obj.name, obj.content),
    )


def evacuation_feed(store: ObjectStoreClient) -> ObjectFeed[Evacuation]:
    """Return the feed of evacuated failure domains."""
    return ObjectFeed(
        store=store,
        kind=EVACUATION_KIND,
        decode=lambda obj: decode_evacuation(obj.name, obj.content),
    )
