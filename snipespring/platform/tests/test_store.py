"""Test the store client against the stand-in store, over sockets."""

import json
import socket
import threading
from collections.abc import Iterator

import pytest
from attrs import define

from snipespring.platform.feeds import HostRegistry, server_feed
from snipespring.platform.store import (
    MAX_REPLY_BYTES,
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
from standins.harness import run_limited
from standins.http import (
    Header,
    Request,
    Response,
    Server,
    TruncatedResponse,
    start_server,
)
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
class StoreEnvironment:
    store: ObjectStoreClient
    controller: StoreController
    server: Server


@pytest.fixture
def env() -> Iterator[StoreEnvironment]:
    app = StoreApplication()
    server = start_server(listen="127.0.0.1:0", app=app)
    address = Address(ip="127.0.0.1", port=server.server_port)
    store = ObjectStoreClient(address=address, timeout_s=5.0)
    yield StoreEnvironment(store=store, controller=app.controller, server=server)
    app.controller.set_fault(NoFault())
    server.server_close()


def written_version(result: object) -> int:
    assert isinstance(result, ObjectWritten)
    return result.version


def test_object_is_created_replaced_and_removed_by_its_revision(
    env: StoreEnvironment,
) -> None:
    store = env.store
    first = written_version(store.create(KIND, "a", {"x": 1}))
    assert store.create(KIND, "a", {"x": 2}) == ObjectConflict(name="a")
    second = written_version(store.replace(KIND, "a", {"x": 3}, expected=first))
    assert second > first
    assert store.replace(KIND, "a", {"x": 4}, expected=first) == ObjectConflict(
        name="a"
    )
    stored = store.read(KIND, "a")
    assert isinstance(stored, StoredObject)
    assert stored.content["Spec"] == {"x": 3}
    written_version(store.delete(KIND, "a", expected=second))
    assert store.read(KIND, "a") == ObjectAbsent(name="a")


def test_listing_contains_every_page(env: StoreEnvironment) -> None:
    names = [f"n-{number:03d}" for number in range(120)]
    for name in names:
        written_version(env.store.create(KIND, name, {}))
    listing = env.store.list_objects(KIND)
    assert isinstance(listing, ObjectListing)
    assert [obj.name for obj in listing.objects] == names
    assert env.store.list_objects("none") == ObjectListing(
        objects=(), revision=listing.revision
    )


def test_watch_returns_on_a_change_or_after_its_wait(env: StoreEnvironment) -> None:
    listing = env.store.list_objects(KIND)
    assert isinstance(listing, ObjectListing)
    unchanged = env.store.watch(KIND, after=listing.revision, wait_s=0.05)
    assert unchanged == ObjectChanges(changes=(), revision=listing.revision)
    other = ObjectStoreClient(address=env.store.address, timeout_s=5.0)
    writer = threading.Timer(0.05, lambda: other.create(KIND, "a", {}))
    writer.start()
    result = env.store.watch(KIND, after=listing.revision, wait_s=30.0)
    writer.join()
    assert isinstance(result, ObjectChanges)
    assert [change.obj.name for change in result.changes] == ["a"]


def test_watch_from_a_compacted_revision_is_a_gap(env: StoreEnvironment) -> None:
    for name in "abc":
        written_version(env.store.create(KIND, name, {}))
    env.controller.compact()
    assert env.store.watch(KIND, after=1, wait_s=0.1) == StoreGap()


@pytest.mark.parametrize("status", [429, 503])
def test_rejected_call_has_no_effect(env: StoreEnvironment, status: int) -> None:
    env.controller.set_fault(RejectedCalls(status=status))
    assert env.store.create(KIND, "a", {}) == PlatformUnavailable(
        reason=f"status {status}"
    )
    assert isinstance(env.store.list_objects(KIND), PlatformUnavailable)
    env.controller.set_fault(NoFault())
    written_version(env.store.create(KIND, "a", {}))


def test_write_whose_answer_is_lost_is_uncertain(env: StoreEnvironment) -> None:
    env.controller.set_fault(LostAnswers(remaining_writes=1))
    assert isinstance(env.store.create(KIND, "a", {}), WriteUncertain)
    assert env.store.create(KIND, "a", {}) == ObjectConflict(name="a")


def test_unresponsive_store_is_unavailable_after_the_timeout(
    env: StoreEnvironment,
) -> None:
    env.controller.set_fault(Unresponsive())
    client = ObjectStoreClient(address=env.store.address, timeout_s=0.1)
    assert isinstance(client.list_objects(KIND), PlatformUnavailable)
    env.controller.set_fault(NoFault())
    assert isinstance(client.list_objects(KIND), ObjectListing)


def test_host_is_registered_once_and_again_after_a_lost_answer(
    env: StoreEnvironment,
) -> None:
    registry = HostRegistry(store=env.store)
    env.controller.set_fault(LostAnswers(remaining_writes=1))
    assert registry.announce(HOST) is not None
    assert registry.announce(HOST) is None
    revision = env.store.list_objects("snipespring-hosts")
    assert registry.announce(HOST) is None
    assert env.store.list_objects("snipespring-hosts") == revision
    listed = registry.feed().list_items()
    assert isinstance(listed, FeedListing)
    assert [item.content for item in listed.items] == [HOST]


def test_malformed_server_entry_is_invalid(env: StoreEnvironment) -> None:
    written_version(env.store.create("servers", "good", SERVER))
    written_version(env.store.create("servers", "odd", {**SERVER, "State": 5}))
    written_version(env.store.create("servers", "none", None))
    listed = server_feed(env.store).list_items()
    assert isinstance(listed, FeedListing)
    kinds = {item.name: type(item.content) for item in listed.items}
    assert kinds == {
        "good": PublishedServer,
        "odd": InvalidItem,
        "none": InvalidItem,
    }


@define(kw_only=True)
class FixedPage:
    body: bytes
    eras: tuple[int | str, ...] = ()
    calls: int = 0

    def connect(self) -> bool:
        return True

    def disconnect(self) -> None:
        return None

    def accepts_body(self, target: str) -> bool:
        return True

    def answer(self, req: Request, conn: socket.socket) -> Response | TruncatedResponse:
        self.calls += 1
        era = self.eras[self.calls - 1] if self.eras else 0
        header = Header(name="Store-Era", value=str(era))
        return Response(status=200, headers=(header,), body=self.body)


@define(kw_only=True)
class StalePages(FixedPage):
    """Return the same page twice, the second time from an older copy of the store."""

    revisions: list[int]

    def answer(self, req: Request, conn: socket.socket) -> Response:
        page = json.loads(self.body)
        page |= {"StoreRevision": self.revisions.pop(0)}
        page |= {"HasMore": bool(self.revisions)}
        return Response(status=200, body=json.dumps(page).encode())


def test_stale_listing_has_the_revision_of_its_oldest_page() -> None:
    # Guards against changes between the ages of two pages that no watch and no relay
    # reports, since the listing states the revision of the newer page.
    app = StalePages(body=make_page("{}"), revisions=[12, 9])
    server = start_server(listen="127.0.0.1:0", app=app)
    address = Address(ip="127.0.0.1", port=server.server_port)
    store = ObjectStoreClient(address=address, timeout_s=5.0)
    listing = store.list_objects(KIND, may_be_stale=True)
    server.server_close()
    assert isinstance(listing, ObjectListing)
    assert (listing.revision, listing.pages) == (9, 2)


def make_page(odd_entry: str) -> bytes:
    healthy = json.dumps({"Metadata": {"Name": "i-2", "Revision": 2}, "Spec": SERVER})
    return f'{{"items": [{odd_entry}, {healthy}], "StoreRevision": 9}}'.encode()


@pytest.mark.parametrize(
    "value",
    [
        "[" * 100_000 + "]" * 100_000,
        '{"a":' * 100_000 + "1" + "}" * 100_000,
        '["]", ' + '{"\\"[": [' * 5_000 + "]}" * 5_000 + "]",
        "9" * 5_000,
        "-" + "9" * 5_000,
        "1e999",
        "NaN",
        '"\\ud800"',
    ],
)
def test_odd_entry_leaves_the_healthy_one_on_its_page_usable(value: str) -> None:
    odd = f'{{"Metadata": {{"Name": "i-1", "Revision": 1}}, "Spec": {value}}}'
    server = start_server(listen="127.0.0.1:0", app=FixedPage(body=make_page(odd)))
    address = Address(ip="127.0.0.1", port=server.server_port)
    store = ObjectStoreClient(address=address, timeout_s=5.0)
    listing = server_feed(store).list_items()
    server.server_close()
    assert isinstance(listing, FeedListing)
    odd_item, healthy = listing.items
    assert isinstance(odd_item.content, InvalidItem)
    assert isinstance(healthy.content, PublishedServer)


PARSE = """
import sys
from snipespring.platform.store import _parse_json
content = _parse_json(sys.stdin.buffer.read())
print("malformed" if content is None else len(content["items"]))
"""
PARSING_LIMIT_S = 30.0
DEEP = "[" * 100_000 + "]" * 100_000
MEBIBYTE = 1 << 20


@pytest.mark.parametrize(
    ("page", "result"),
    [
        (f'[{DEEP}, "' + '\\"' * MEBIBYTE, "malformed"),
        (f'[{DEEP}, "' + "\\" * (2 * MEBIBYTE + 1), "malformed"),
        (f'{{"items": [{DEEP}, "' + '\\"[' * MEBIBYTE + '"]}', "2"),
        (f'{{"items": [{DEEP}, ' + "9" * MEBIBYTE + "]}", "2"),
        (f'{{"items": [{DEEP}, 0.' + "9" * MEBIBYTE + "]}", "2"),
        ("[" * 8 * MEBIBYTE, "malformed"),
        ('{"a":' * MEBIBYTE, "malformed"),
    ],
)
def test_a_reply_of_any_form_is_parsed_in_linear_time(page: str, result: str) -> None:
    # Guards against a page of the store that stops the whole process (CONFIG).
    found = run_limited(PARSE, page.encode(), limit_s=PARSING_LIMIT_S)
    assert found == result


def test_a_reply_that_is_too_long_counts_as_none() -> None:
    # Guards against a host that keeps a reply without end.
    padding = b" " * MAX_REPLY_BYTES
    app = FixedPage(body=make_page("{}") + padding)
    server = start_server(listen="127.0.0.1:0", app=app)
    address = Address(ip="127.0.0.1", port=server.server_port)
    store = ObjectStoreClient(address=address, timeout_s=5.0)
    assert isinstance(store.list_objects(KIND), PlatformUnavailable)
    assert isinstance(store.create(KIND, "a", {}), WriteUncertain)
    app.body = make_page("{}")
    assert isinstance(store.list_objects(KIND), ObjectListing)
    server.server_close()


@define(kw_only=True)
class CutAnswers(FixedPage):
    """Break off each answer in the middle of its body."""

    def answer(self, req: Request, conn: socket.socket) -> TruncatedResponse:
        return TruncatedResponse(response=Response(status=201, body=self.body))


def test_a_write_whose_answer_is_cut_is_uncertain() -> None:
    # Guards against a write that is taken for done though its answer broke off.
    server = start_server(listen="127.0.0.1:0", app=CutAnswers(body=make_page("{}")))
    address = Address(ip="127.0.0.1", port=server.server_port)
    store = ObjectStoreClient(address=address, timeout_s=5.0)
    assert isinstance(store.create(KIND, "a", {}), WriteUncertain)
    server.server_close()


@pytest.mark.parametrize("era", ["9" * 5_000, "\xb2", "-1", ""])
def test_a_malformed_era_counts_as_none(era: str) -> None:
    # Guards against a follower of the store that an exception ends.
    app = FixedPage(body=make_page("{}"), eras=(era,))
    server = start_server(listen="127.0.0.1:0", app=app)
    address = Address(ip="127.0.0.1", port=server.server_port)
    listing = ObjectStoreClient(address=address, timeout_s=5.0).list_objects(KIND)
    server.server_close()
    assert isinstance(listing, ObjectListing)
    assert listing.era == 0


def test_answer_of_an_earlier_era_counts_as_none() -> None:
    # Guards against entries of before a restore that a slow answer brings back.
    app = FixedPage(body=make_page("{}"), eras=(3, 2, 3))
    server = start_server(listen="127.0.0.1:0", app=app)
    address = Address(ip="127.0.0.1", port=server.server_port)
    store = ObjectStoreClient(address=address, timeout_s=5.0)
    answers = [store.list_objects("servers") for _ in range(3)]
    kinds = [type(answer) for answer in answers]
    assert kinds == [ObjectListing, PlatformUnavailable, ObjectListing]
    outdated = store.replace("servers", "a", {}, expected=9, era=2)
    assert outdated == ObjectConflict(name="a")
    assert isinstance(store.delete("servers", "a", expected=9), ObjectConflict)
    server.server_close()
    assert app.calls == 3


def test_first_answer_of_a_new_era_ends_a_watch_on_another_thread(
    env: StoreEnvironment,
) -> None:
    # Guards against a host that learns of a restore only when its watch of the servers
    # ends, up to 20 s later: the store may have issued the watched revision again.
    env.controller.back_up()
    results: list[object] = []
    watcher = threading.Thread(
        target=lambda: results.append(env.store.watch(KIND, after=1, wait_s=60.0))
    )
    watcher.start()
    while not env.controller.state().counts.watches:
        threading.Event().wait(0.01)
    env.controller.restore()
    env.store.read(KIND, "a")
    watcher.join(10.0)
    assert results == [StoreGap(era=1)]
    assert isinstance(env.store.list_objects(KIND), ObjectListing)


def test_host_whose_object_is_lost_in_a_restore_registers_again(
    env: StoreEnvironment,
) -> None:
    registry = HostRegistry(store=env.store)
    assert registry.announce(HOST) is None
    assert registry.is_registered(HOST) is True
    env.controller.restore()
    assert registry.is_registered(HOST) is False
    assert registry.announce(HOST) is None
    assert registry.is_registered(HOST) is True
