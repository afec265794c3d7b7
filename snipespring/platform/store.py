"""Read, list, watch and write objects in the platform's object store."""

import contextlib
import json
import re
import socket
import threading
from collections.abc import Callable, Mapping
from http.client import HTTPConnection, HTTPException, HTTPResponse, IncompleteRead
from typing import Any
from urllib.parse import quote, urlencode

from attrs import define, field, frozen

from ..records import (
    Address,
    ObjectAbsent,
    ObjectConflict,
    ObjectWritten,
    PlatformUnavailable,
    WriteResult,
    WriteUncertain,
)

__all__ = [
    "ObjectChange",
    "ObjectChanges",
    "ObjectListing",
    "ObjectStoreClient",
    "StoreGap",
    "StoredObject",
]

ERA_HEADER = "Store-Era"  # absent from a store that counts no eras
CONNECT_TIMEOUT_S = 0.5
WATCH_EXTRA_TIMEOUT_S = (
    0.8  # time for the response once the watch's own wait time is over
)
# An unresponsive peer is detected after one idle interval and two probes: 3 s.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MS_PER_S = 1000
MAX_JSON_DEPTH = 32  # of a page; valid objects are less deep
MAX_INT_DIGITS = 400  # above the digits of the largest float
MAX_REPLY_BYTES = 32 * 1024 * 1024
MAX_ERA_DIGITS = 18
# Takes a string as a whole even if it has no end: a search from each of its characters
# would take time of the second power.
_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*+"?|[\[\]{}]', re.DOTALL)

Json = Any


@frozen(kw_only=True)
class StoredObject:
    """Represent one object as the store returned it."""

    name: str
    revision: int
    content: Mapping[str, Any] = field(repr=False)
    era: int = 0


@frozen(kw_only=True)
class ObjectListing:
    """Represent the objects of a kind and the revision from which to watch.

    The store was called once for each of the `pages`.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    era: int = 0
    pages: int = 1


@frozen(kw_only=True)
class ObjectChange:
    """Represent one object that was written or removed."""

    obj: StoredObject
    is_removed: bool


@frozen(kw_only=True)
class ObjectChanges:
    """Represent the changes up to a revision, in order."""

    changes: tuple[ObjectChange, ...]
    revision: int
    era: int = 0


@frozen(kw_only=True)
class StoreGap:
    """Report that the store no longer has the history since the given revision."""

    era: int = 0


@define(kw_only=True, eq=False)
class _EraCounter:
    """Keep the newest era of the answers to one client."""

    _newest: int = field(default=0, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def record(self, era: int) -> int:
        """Record the era of an answer; return the newest one."""
        with self._lock:
            self._newest = max(self._newest, era)
            return self._newest


@define(kw_only=True, eq=False)
class _PendingWatch:
    """Represent a watch that waits for its answer, begun in an era."""

    conn: HTTPConnection
    era: int
    is_ended: bool = False


@define(kw_only=True, eq=False)
class ObjectStoreClient:
    """Call the store over one persistent connection per thread.

    `record_era` gets the era of each answer and returns the newest known era. Answers
    of an earlier era count as none. The first answer of a newer era ends the watches
    that wait on other threads, as the store may not end them soon. `newest_era` is 0
    before any answer.
    """

    address: Address
    timeout_s: float
    record_era: Callable[[int], int] = field(factory=lambda: _EraCounter().record)
    _local: threading.local = field(factory=threading.local, init=False)
    newest_era: int = field(default=0, init=False)
    _watches: set[_PendingWatch] = field(factory=set, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def read(
        self, kind: str, name: str, *, may_be_stale: bool = False
    ) -> StoredObject | ObjectAbsent | PlatformUnavailable:
        """Return one object or its absence, maybe seconds old with `may_be_stale`."""
        query: dict[str, object] = {"AllowStale": 1} if may_be_stale else {}
        path = _make_path(kind, name, query)
        response = self._call("GET", path, None, self.timeout_s)
        match response:
            case _Response(status=200, content=content, era=era):
                obj = _read_object(content, era)
                return obj or PlatformUnavailable(reason="malformed object")
            case _Response(status=404):
                return ObjectAbsent(name=name)
            case _:
                return _make_unavailable(response)

    def list_objects(
        self, kind: str, *, may_be_stale: bool = False
    ) -> ObjectListing | PlatformUnavailable:
        """Return all objects of a kind, maybe seconds old with `may_be_stale`."""
        objects: list[StoredObject] = []
        revision: int | None = None
        first_era: int | None = None
        pages = 0
        query: dict[str, object] = {"AllowStale": 1} if may_be_stale else {}
        while True:
            pages += 1
            response = self._call(
                "GET", _make_path(kind, "", query), None, self.timeout_s
            )
            match response:
                case _Response(status=200, content=Mapping() as content, era=era):
                    page = _read_page(content, era)
                case _Response(status=404, era=era) if not objects:
                    return ObjectListing(objects=(), revision=0, era=era)
                case _:
                    return _make_unavailable(response)
            if page is None:
                return PlatformUnavailable(reason="malformed listing")
            first_era = era if first_era is None else first_era
            if era != first_era:
                return PlatformUnavailable(reason="restored during the listing")
            objects += page.objects
            # A watch from the oldest page's revision reports changes between pages. A
            # later page may be the older one if both may be stale.
            if revision is None or page.revision < revision:
                revision = page.revision
            if not content.get("HasMore") or not page.objects:
                return ObjectListing(
                    objects=tuple(objects), revision=revision, era=era, pages=pages
                )
            query["after"] = page.objects[-1].name

    def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> ObjectChanges | StoreGap | PlatformUnavailable:
        """Wait up to `wait_s` seconds for changes after the revision `after`.

        Return `StoreGap` if the store no longer has the changes since that revision.
        """
        query = {"Watch": after, "WaitMs": int(wait_s * MS_PER_S)}
        timeout_s = wait_s + WATCH_EXTRA_TIMEOUT_S
        begun_era = self.newest_era
        response = self._call(
            "GET", _make_path(kind, "", query), None, timeout_s, watched_era=begun_era
        )
        match response:
            case _Response(status=200, content=Mapping() as content, era=era):
                changes = _read_changes(content, era)
                return changes or PlatformUnavailable(reason="malformed changes")
            case _Response(status=410, era=era):
                return StoreGap(era=era)
            case _NoResponse() if self.newest_era > begun_era:
                return StoreGap(era=self.newest_era)
            case _:
                return _make_unavailable(response)

    def create(self, kind: str, name: str, spec: Json) -> WriteResult:
        """Create an object; a conflict means that it exists."""
        body = {"Metadata": {"Name": name}, "Spec": spec}
        return self._write("POST", _make_path(kind), name, body)

    def replace(
        self, kind: str, name: str, spec: Json, *, expected: int, era: int = 0
    ) -> WriteResult:
        """Replace an object's content if its revision in `era` is `expected`.

        Nothing is sent if a newer era is known, in which the revision may be reissued.
        """
        if era < self.newest_era:
            return ObjectConflict(name=name)
        body = {"Metadata": {"Name": name, "Revision": expected}, "Spec": spec}
        return self._write("PUT", _make_path(kind, name), name, body)

    def delete(
        self, kind: str, name: str, *, expected: int, era: int = 0
    ) -> WriteResult:
        """Remove an object if its revision in `era` is `expected`.

        Nothing is sent if a newer era is known, in which the revision may be reissued.
        """
        if era < self.newest_era:
            return ObjectConflict(name=name)
        path = _make_path(kind, name, {"Revision": expected})
        return self._write("DELETE", path, name, None)

    def _write(self, method: str, path: str, name: str, body: Json) -> WriteResult:
        response = self._call(method, path, body, self.timeout_s)
        match response:
            case _Response(status=200 | 201, content=content, era=era):
                obj = _read_object(content, era)
                revision = obj.revision if obj else 0
                return ObjectWritten(name=name, version=revision, era=era)
            case _Response(status=404 | 409):
                return ObjectConflict(name=name)
            case _NoResponse(reason=reason, may_be_sent=True):
                return WriteUncertain(reason=reason)
            case _:
                return _make_unavailable(response)

    def _call(
        self,
        method: str,
        path: str,
        body: Json,
        timeout_s: float,
        *,
        watched_era: int | None = None,
    ) -> "_Response | _NoResponse":
        may_be_sent, watch = False, None
        try:
            conn = self._get_connection(timeout_s)
            data = None if body is None else json.dumps(body).encode()
            headers = {} if body is None else {"Content-Type": "application/json"}
            may_be_sent = True
            if watched_era is not None:
                watch = self._begin_watch(conn, watched_era)
            conn.request(method, path, body=data, headers=headers)
            resp = conn.getresponse()
            content = _read_content(resp)
        except (OSError, HTTPException) as exc:
            self._close_connection()
            return _NoResponse(
                reason=f"{type(exc).__name__}: {exc}", may_be_sent=may_be_sent
            )
        finally:
            if watch is not None:
                self._end_watch(watch)
        era = _parse_era(resp.getheader(ERA_HEADER))
        newest = self.record_era(era)
        self._advance_era(newest)
        if era < newest:
            # A write of an earlier era is lost by the restore, whatever its status.
            reason = f"an answer of era {era} after one of era {newest}"
            return _NoResponse(reason=reason, may_be_sent=False)
        return _Response(status=resp.status, content=_parse_json(content), era=era)

    def _begin_watch(self, conn: HTTPConnection, era: int) -> _PendingWatch:
        watch = _PendingWatch(conn=conn, era=era)
        with self._lock:
            self._watches.add(watch)
        return watch

    def _end_watch(self, watch: _PendingWatch) -> None:
        with self._lock:
            self._watches.discard(watch)
        if watch.is_ended:
            watch.conn.close()

    def _advance_era(self, newest: int) -> None:
        with self._lock:
            self.newest_era = max(self.newest_era, newest)
            for watch in self._watches:
                sock = watch.conn.sock
                if watch.era < newest and not watch.is_ended and sock is not None:
                    watch.is_ended = True
                    with contextlib.suppress(OSError):
                        sock.shutdown(socket.SHUT_RDWR)

    def _get_connection(self, timeout_s: float) -> HTTPConnection:
        conn: HTTPConnection | None = getattr(self._local, "conn", None)
        if conn is None:
            conn = HTTPConnection(
                self.address.ip, self.address.port, timeout=CONNECT_TIMEOUT_S
            )
            self._local.conn = conn
        if conn.sock is None:
            conn.timeout = CONNECT_TIMEOUT_S
            conn.connect()
            _enable_keepalive(conn)
        conn.sock.settimeout(timeout_s)
        return conn

    def _close_connection(self) -> None:
        conn: HTTPConnection | None = getattr(self._local, "conn", None)
        if conn is not None:
            conn.close()


@frozen(kw_only=True)
class _Response:
    """Represent the store's response; content that is not JSON is None."""

    status: int
    content: Json
    era: int


@frozen(kw_only=True)
class _NoResponse:
    """Report that no response came, and whether the request may have been sent."""

    reason: str
    may_be_sent: bool


def _enable_keepalive(conn: HTTPConnection) -> None:
    sock = conn.sock
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _make_unavailable(response: _Response | _NoResponse) -> PlatformUnavailable:
    match response:
        case _Response(status=200):
            return PlatformUnavailable(reason="malformed response")
        case _Response(status=status):
            return PlatformUnavailable(reason=f"status {status}")
        case _NoResponse(reason=reason):
            return PlatformUnavailable(reason=reason)


def _make_path(
    kind: str, name: str = "", query: Mapping[str, object] | None = None
) -> str:
    path = f"/v1/objects/{quote(kind)}"
    if name:
        path += f"/{quote(name, safe='')}"
    return f"{path}?{urlencode(query)}" if query else path


def _parse_era(text: str | None) -> int:
    """Return the era in a header, 0 if there is none or it is malformed."""
    if text is None or not text.isdecimal() or len(text) > MAX_ERA_DIGITS:
        return 0
    return int(text)


def _read_content(resp: HTTPResponse) -> bytes:
    """Read a whole reply; raise HTTPException if it is cut or too long."""
    content = resp.read(MAX_REPLY_BYTES + 1)
    if len(content) > MAX_REPLY_BYTES:
        raise HTTPException(f"the reply exceeds {MAX_REPLY_BYTES} bytes")
    if resp.length:
        raise IncompleteRead(content, resp.length)
    return content


def _parse_json(content: bytes) -> Json:
    text = content.decode("utf-8", errors="replace")
    try:
        return json.loads(text, parse_int=_parse_int)
    except RecursionError:
        pass
    except ValueError:
        return None
    try:
        return json.loads(_remove_deep_values(text), parse_int=_parse_int)
    except ValueError:
        return None


def _parse_int(text: str) -> int | float:
    """Return the number, as a float if it has too many digits to be a valid value."""
    return int(text) if len(text) <= MAX_INT_DIGITS else float(text)


def _remove_deep_values(text: str) -> str:
    """Replace the values nested deeper than any valid object by null.

    Another writer may leave such an entry on a page with valid ones.
    """
    parts, depth, kept_from = [], 0, 0
    for token in _STRING_OR_BRACKET.finditer(text):
        match token[0]:
            case "[" | "{":
                depth += 1
                if depth == MAX_JSON_DEPTH + 1:
                    parts += [text[kept_from : token.start()], "null"]
            case "]" | "}":
                if depth == MAX_JSON_DEPTH + 1:
                    kept_from = token.end()
                depth -= 1
    return "".join(parts) + (text[kept_from:] if depth <= MAX_JSON_DEPTH else "")


def _read_object(content: Json, era: int) -> StoredObject | None:
    if not isinstance(content, Mapping):
        return None
    meta = content.get("Metadata")
    if not isinstance(meta, Mapping):
        return None
    name, revision = meta.get("Name"), meta.get("Revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    return StoredObject(name=name, revision=revision, content=content, era=era)


def _read_page(content: Mapping[str, Any], era: int) -> ObjectListing | None:
    items, revision = content.get("items"), content.get("StoreRevision")
    if not isinstance(items, list) or not isinstance(revision, int):
        return None
    objects = [_read_object(item, era) for item in items]
    return ObjectListing(
        objects=tuple(obj for obj in objects if obj is not None),
        revision=revision,
        era=era,
    )


def _read_changes(content: Mapping[str, Any], era: int) -> ObjectChanges | None:
    events, revision = content.get("events"), content.get("StoreRevision")
    if not isinstance(events, list) or not isinstance(revision, int):
        return None
    changes = (_read_change(event, era) for event in events)
    return ObjectChanges(
        changes=tuple(change for change in changes if change is not None),
        revision=revision,
        era=era,
    )


def _read_change(event: Json, era: int) -> ObjectChange | None:
    if not isinstance(event, Mapping):
        return None
    obj = _read_object(event.get("Object"), era)
    if obj is None:
        return None
    return ObjectChange(obj=obj, is_removed=bool(event.get("Deleted")))
