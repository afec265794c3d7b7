"""Drive the fleet's named contents against the store's stand-in, over sockets."""

import threading
from collections.abc import Iterator

import pytest
from attrs import define
from hypothesis import given
from hypothesis import strategies as st

from snipespring.platform.store import ObjectStoreClient
from snipespring.platform.versioned_objects import VersionedObjectStore
from snipespring.records import (
    Address,
    ObjectAbsent,
    ObjectConflict,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    PlatformUnavailable,
    WriteUncertain,
)
from standins.http import Server, start_server
from standins.store import (
    LostAnswers,
    NoFault,
    StoreApplication,
    StoreController,
    Unavailable,
)

NAME = "snipespring-things/main"


@define(kw_only=True, eq=False)
class Place:
    contents: VersionedObjectStore
    store: ObjectStoreClient
    controller: StoreController
    server: Server

    def put(self, content: bytes, *, expected: int, name: str = NAME) -> int:
        result = self.contents.write(name, content, expected=expected)
        assert isinstance(result, ObjectWritten)
        return result.version


@pytest.fixture(scope="module")
def served() -> Iterator[Place]:
    app = StoreApplication()
    server = start_server(listen="127.0.0.1:0", app=app)
    contents = VersionedObjectStore(
        url=f"http://127.0.0.1:{server.server_port}", timeout_s=5.0
    )
    store = ObjectStoreClient(
        address=Address(ip="127.0.0.1", port=server.server_port), timeout_s=5.0
    )
    yield Place(
        contents=contents, store=store, controller=app.controller, server=server
    )
    server.server_close()


@pytest.fixture
def place(served: Place) -> Iterator[Place]:
    yield served
    served.controller.set_fault(NoFault())
    match served.contents.read(NAME):
        case ObjectRead(version=version):
            served.contents.delete(NAME, expected=version)
        case _:
            pass


@given(content=st.binary(max_size=2000))
def test_any_bytes_come_back_as_written(served: Place, content: bytes) -> None:
    name = "snipespring-bytes/one"
    held = served.contents.read(name)
    expected = held.version if isinstance(held, ObjectRead) else 0
    served.put(content, expected=expected, name=name)
    read = served.contents.read(name)
    assert isinstance(read, ObjectRead)
    assert (read.name, read.content) == (name, content)


def test_only_the_expected_version_is_replaced_or_removed(place: Place) -> None:
    contents = place.contents
    assert contents.read(NAME) == ObjectAbsent(name=NAME)
    first = place.put(b"one", expected=0)
    assert isinstance(contents.write(NAME, b"two", expected=0), ObjectConflict)
    assert place.put(b"other", expected=0, name="snipespring-other/main") == 1
    second = place.put(b"two", expected=first)
    assert (first, second) == (1, 2)
    assert isinstance(contents.write(NAME, b"three", expected=first), ObjectConflict)
    assert isinstance(contents.delete(NAME, expected=first), ObjectConflict)
    assert isinstance(contents.delete(NAME, expected=second), ObjectWritten)
    assert contents.read(NAME) == ObjectAbsent(name=NAME)


def test_watch_answers_a_newer_version_or_that_there_is_none(place: Place) -> None:
    first = place.put(b"one", expected=0)
    read = ObjectRead(name=NAME, version=first, content=b"one")
    assert place.contents.watch(NAME, after=-1, wait_s=9.0) == read
    unchanged = ObjectUnchanged(name=NAME)
    assert place.contents.watch(NAME, after=first, wait_s=0.05) == unchanged
    other = VersionedObjectStore(url=place.contents.url, timeout_s=5.0)
    writer = threading.Timer(0.05, lambda: other.write(NAME, b"two", expected=first))
    writer.start()
    heard = place.contents.watch(NAME, after=first, wait_s=9.0)
    writer.join()
    assert isinstance(heard, ObjectRead)
    assert heard.content == b"two"


def test_watch_after_a_gap_reads_the_object(place: Place) -> None:
    first = place.put(b"one", expected=0)
    place.put(b"two", expected=first)
    other = VersionedObjectStore(url=place.contents.url, timeout_s=5.0)
    assert isinstance(other.write(NAME, b"three", expected=2), ObjectWritten)
    place.controller.compact()
    heard = place.contents.watch(NAME, after=2, wait_s=9.0)
    assert isinstance(heard, ObjectRead)
    assert heard.content == b"three"


def test_write_whose_answer_is_lost_is_uncertain(place: Place) -> None:
    place.controller.set_fault(LostAnswers(remaining_writes=1))
    assert isinstance(place.contents.write(NAME, b"one", expected=0), WriteUncertain)
    held = place.contents.read(NAME)
    assert isinstance(held, ObjectRead)
    assert held.content == b"one"


def test_absent_store_is_unavailable(place: Place) -> None:
    place.controller.set_fault(Unavailable())
    assert isinstance(place.contents.read(NAME), PlatformUnavailable)
    heard = place.contents.watch(NAME, after=1, wait_s=0.1)
    assert isinstance(heard, PlatformUnavailable)


def test_removed_content_that_came_back_outlasts_a_late_removal(place: Place) -> None:
    late = VersionedObjectStore(url=place.contents.url, timeout_s=5.0)
    first = place.put(b"one", expected=0)
    assert isinstance(late.read(NAME), ObjectRead)
    assert isinstance(place.contents.delete(NAME, expected=first), ObjectWritten)
    assert place.put(b"again", expected=0) == first
    assert isinstance(late.delete(NAME, expected=first), ObjectConflict)
    assert isinstance(place.contents.read(NAME), ObjectRead)


def test_foreign_object_is_no_content(place: Place) -> None:
    kind, _, key = NAME.partition("/")
    place.store.create(kind, key, {"content": "not base64!"})
    assert isinstance(place.contents.read(NAME), PlatformUnavailable)
