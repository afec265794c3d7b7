"""Drive the store's client against the stand-in, over sockets."""

import threading
from collections.abc import Iterator

import pytest
from attrs import define

from snipespring.platform.feeds import HostRegistry, server_feed
from snipespring.platform.store import (
    ObjectChanges,
    ObjectListing,
    ObjectStoreClient,
    StoredObject,
    StoreGap,
)
from snipespring.records import (
    Address,
    DomainName,
    FeedListing,
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
from standins.http import Server, start_server
from standins.store import (
    LostAnswers,
    NoFault,
    RejectedCalls,
    StoreApplication,
    StoreController,
    Unresponsive,
)

KIND = "things"
SERVER = {
    "Service": "ledger",
    "Address": "10.0.0.9:80",
    "Zone": "a",
    "Slots": 3,
    "State": "ready",
}
HOST = PublishedHost(
    host_id=HostId("front-1"),
    domain=DomainName("a"),
    callers=Address(ip="10.1.0.1", port=80),
    peers=Address(ip="10.1.0.1", port=7100),
)


@define(kw_only=True, eq=False)
class Place:
    store: ObjectStoreClient
    controller: StoreController
    server: Server


@pytest.fixture
def place() -> Iterator[Place]:
    app = StoreApplication()
    server = start_server(listen="127.0.0.1:0", app=app)
    address = Address(ip="127.0.0.1", port=server.server_port)
    store = ObjectStoreClient(address=address, timeout_s=5.0)
    yield Place(store=store, controller=app.controller, server=server)
    app.controller.set_fault(NoFault())
    server.server_close()


def written(result: object) -> int:
    assert isinstance(result, ObjectWritten)
    return result.version


def test_object_is_created_replaced_and_removed_by_its_revision(place: Place) -> None:
    store = place.store
    first = written(store.create(KIND, "a", {"x": 1}))
    assert store.create(KIND, "a", {"x": 2}) == ObjectConflict(name="a")
    second = written(store.replace(KIND, "a", {"x": 3}, expected=first))
    assert second > first
    assert store.replace(KIND, "a", {"x": 4}, expected=first) == ObjectConflict(
        name="a"
    )
    held = store.read(KIND, "a")
    assert isinstance(held, StoredObject)
    assert held.content["Spec"] == {"x": 3}
    written(store.delete(KIND, "a", expected=second))
    assert store.read(KIND, "a") == ObjectAbsent(name="a")


def test_listing_carries_every_page(place: Place) -> None:
    names = [f"n-{number:03d}" for number in range(120)]
    for name in names:
        written(place.store.create(KIND, name, {}))
    listing = place.store.list_objects(KIND)
    assert isinstance(listing, ObjectListing)
    assert [obj.name for obj in listing.objects] == names
    assert place.store.list_objects("none") == ObjectListing(
        objects=(), revision=listing.revision
    )


def test_watch_ends_with_the_change_or_with_its_time(place: Place) -> None:
    listing = place.store.list_objects(KIND)
    assert isinstance(listing, ObjectListing)
    quiet = place.store.watch(KIND, after=listing.revision, wait_s=0.05)
    assert quiet == ObjectChanges(changes=(), revision=listing.revision)
    other = ObjectStoreClient(address=place.store.address, timeout_s=5.0)
    writer = threading.Timer(0.05, lambda: other.create(KIND, "a", {}))
    writer.start()
    heard = place.store.watch(KIND, after=listing.revision, wait_s=30.0)
    writer.join()
    assert isinstance(heard, ObjectChanges)
    assert [change.obj.name for change in heard.changes] == ["a"]


def test_watch_from_a_forgotten_revision_is_a_gap(place: Place) -> None:
    for name in "abc":
        written(place.store.create(KIND, name, {}))
    place.controller.compact()
    assert place.store.watch(KIND, after=1, wait_s=0.1) == StoreGap()


@pytest.mark.parametrize("status", [429, 503])
def test_refused_call_did_nothing(place: Place, status: int) -> None:
    place.controller.set_fault(RejectedCalls(status=status))
    assert place.store.create(KIND, "a", {}) == PlatformUnavailable(
        reason=f"status {status}"
    )
    assert isinstance(place.store.list_objects(KIND), PlatformUnavailable)
    place.controller.set_fault(NoFault())
    written(place.store.create(KIND, "a", {}))


def test_write_whose_answer_is_lost_is_uncertain(place: Place) -> None:
    place.controller.set_fault(LostAnswers(remaining_writes=1))
    assert isinstance(place.store.create(KIND, "a", {}), WriteUncertain)
    assert place.store.create(KIND, "a", {}) == ObjectConflict(name="a")


def test_silent_store_is_away_after_the_timeout(place: Place) -> None:
    place.controller.set_fault(Unresponsive())
    hasty = ObjectStoreClient(address=place.store.address, timeout_s=0.1)
    assert isinstance(hasty.list_objects(KIND), PlatformUnavailable)
    place.controller.set_fault(NoFault())
    assert isinstance(hasty.list_objects(KIND), ObjectListing)


def test_host_is_named_once_and_again_after_a_lost_answer(place: Place) -> None:
    registry = HostRegistry(store=place.store)
    place.controller.set_fault(LostAnswers(remaining_writes=1))
    assert registry.announce(HOST) is not None
    assert registry.announce(HOST) is None
    revision = place.store.list_objects("snipespring-hosts")
    assert registry.announce(HOST) is None
    assert place.store.list_objects("snipespring-hosts") == revision
    listed = registry.feed().list_items()
    assert isinstance(listed, FeedListing)
    assert [item.content for item in listed.items] == [HOST]


def test_foreign_server_entry_is_told_apart(place: Place) -> None:
    written(place.store.create("servers", "good", SERVER))
    written(place.store.create("servers", "odd", {**SERVER, "State": 5}))
    written(place.store.create("servers", "none", None))
    listed = server_feed(place.store).list_items()
    assert isinstance(listed, FeedListing)
    kinds = {item.name: type(item.content) for item in listed.items}
    assert kinds == {
        "good": PublishedServer,
        "odd": InvalidItem,
        "none": InvalidItem,
    }
