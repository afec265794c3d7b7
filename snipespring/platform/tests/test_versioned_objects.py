"""Test versioned objects against the stand-in store, over sockets."""

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
class StoreEnvironment:
    objects: VersionedObjectStore
    store: ObjectStoreClient
    controller: StoreController
    server: Server

    def put(self, content: bytes, *, expected: int, name: str = NAME) -> int:
        result = self.objects.write(name, content, expected=expected)
        assert isinstance(result, ObjectWritten)
        return result.version


@pytest.fixture(scope="module")
def shared_env() -> Iterator[StoreEnvironment]:
    app = StoreApplication()
    server = start_server(listen="127.0.0.1:0", app=app)
    objects = VersionedObjectStore(
        url=f"http://127.0.0.1:{server.server_port}", timeout_s=5.0
    )
    store = ObjectStoreClient(
        address=Address(ip="127.0.0.1", port=server.server_port), timeout_s=5.0
    )
    yield StoreEnvironment(
        objects=objects, store=store, controller=app.controller, server=server
    )
    server.server_close()


@pytest.fixture
def env(shared_env: StoreEnvironment) -> Iterator[StoreEnvironment]:
    yield shared_env
    shared_env.controller.set_fault(NoFault())
    match shared_env.objects.read(NAME):
        case ObjectRead(version=version):
            shared_env.objects.delete(NAME, expected=version)
        case _:
            pass


@given(content=st.binary(max_size=2000))
def test_any_bytes_come_back_as_written(
    shared_env: StoreEnvironment, content: bytes
) -> None:
    name = "snipespring-bytes/one"
    current = shared_env.objects.read(name)
    expected = current.version if isinstance(current, ObjectRead) else 0
    shared_env.put(content, expected=expected, name=name)
    read = shared_env.objects.read(name)
    assert isinstance(read, ObjectRead)
    assert (read.name, read.content) == (name, content)


def test_only_the_expected_version_is_replaced_or_removed(
    env: StoreEnvironment,
) -> None:
    objects = env.objects
    assert objects.read(NAME) == ObjectAbsent(name=NAME)
    first = env.put(b"one", expected=0)
    assert isinstance(objects.write(NAME, b"two", expected=0), ObjectConflict)
    assert env.put(b"other", expected=0, name="snipespring-other/main") == 1
    second = env.put(b"two", expected=first)
    assert (first, second) == (1, 2)
    assert isinstance(objects.write(NAME, b"three", expected=first), ObjectConflict)
    assert isinstance(objects.delete(NAME, expected=first), ObjectConflict)
    assert isinstance(objects.delete(NAME, expected=second), ObjectWritten)
    assert objects.read(NAME) == ObjectAbsent(name=NAME)


def test_watch_returns_a_newer_version_or_unchanged(env: StoreEnvironment) -> None:
    first = env.put(b"one", expected=0)
    read = ObjectRead(name=NAME, version=first, content=b"one")
    assert env.objects.watch(NAME, after=-1, wait_s=9.0) == read
    unchanged = ObjectUnchanged(name=NAME)
    assert env.objects.watch(NAME, after=first, wait_s=0.05) == unchanged
    other = VersionedObjectStore(url=env.objects.url, timeout_s=5.0)
    writer = threading.Timer(0.05, lambda: other.write(NAME, b"two", expected=first))
    writer.start()
    result = env.objects.watch(NAME, after=first, wait_s=9.0)
    writer.join()
    assert isinstance(result, ObjectRead)
    assert result.content == b"two"


def test_watch_after_a_gap_reads_the_object(env: StoreEnvironment) -> None:
    first = env.put(b"one", expected=0)
    env.put(b"two", expected=first)
    other = VersionedObjectStore(url=env.objects.url, timeout_s=5.0)
    assert isinstance(other.write(NAME, b"three", expected=2), ObjectWritten)
    env.controller.compact()
    result = env.objects.watch(NAME, after=2, wait_s=9.0)
    assert isinstance(result, ObjectRead)
    assert result.content == b"three"


def test_write_whose_answer_is_lost_is_uncertain(env: StoreEnvironment) -> None:
    env.controller.set_fault(LostAnswers(remaining_writes=1))
    assert isinstance(env.objects.write(NAME, b"one", expected=0), WriteUncertain)
    current = env.objects.read(NAME)
    assert isinstance(current, ObjectRead)
    assert current.content == b"one"


def test_unreachable_store_is_unavailable(env: StoreEnvironment) -> None:
    env.controller.set_fault(Unavailable())
    assert isinstance(env.objects.read(NAME), PlatformUnavailable)
    result = env.objects.watch(NAME, after=1, wait_s=0.1)
    assert isinstance(result, PlatformUnavailable)


def test_late_delete_does_not_remove_a_recreated_object(env: StoreEnvironment) -> None:
    late = VersionedObjectStore(url=env.objects.url, timeout_s=5.0)
    first = env.put(b"one", expected=0)
    assert isinstance(late.read(NAME), ObjectRead)
    assert isinstance(env.objects.delete(NAME, expected=first), ObjectWritten)
    assert env.put(b"again", expected=0) == first
    assert isinstance(late.delete(NAME, expected=first), ObjectConflict)
    assert isinstance(env.objects.read(NAME), ObjectRead)


def test_malformed_content_is_unavailable(env: StoreEnvironment) -> None:
    kind, _, key = NAME.partition("/")
    env.store.create(kind, key, {"content": "not base64!"})
    assert isinstance(env.objects.read(NAME), PlatformUnavailable)
