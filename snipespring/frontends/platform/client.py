"""Read, watch and conditionally write the platform's objects over HTTP."""

import threading
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import Protocol
from urllib.parse import quote, urlsplit

from attrs import define, field

from ...records import (
    ObjectAbsent,
    ObjectConflict,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    PlatformUnavailable,
    ReadResult,
    WriteResult,
    WriteUncertain,
)

__all__ = ["HttpPlatform", "Platform"]

WATCH_GRACE_S = 2.0


class Platform(Protocol):
    """Give access to the platform's objects."""

    def read(self, name: str) -> ReadResult:
        """Return the object, its absence, or that the platform is away."""

    def watch(self, name: str, *, after: int, wait_s: float) -> ReadResult:
        """Wait up to `wait_s` seconds for a version greater than `after`."""

    def write(self, name: str, content: bytes, *, expected: int) -> WriteResult:
        """Replace the object if its version is `expected`; 0 means absent."""

    def delete(self, name: str, *, expected: int) -> WriteResult:
        """Remove the object if its version is `expected`."""


@define(kw_only=True, eq=False)
class HttpPlatform:
    """Keep one connection a thread to the platform at `url`."""

    url: str
    timeout_s: float
    _local: threading.local = field(factory=threading.local, init=False)

    def read(self, name: str) -> ReadResult:
        """Return the object, its absence, or that the platform is away."""
        return self._get(_object_path(name), name, timeout_s=self.timeout_s)

    def watch(self, name: str, *, after: int, wait_s: float) -> ReadResult:
        """Wait up to `wait_s` seconds for a version greater than `after`."""
        path = f"{_object_path(name)}?watch={after}&wait_s={wait_s}"
        return self._get(path, name, timeout_s=wait_s + WATCH_GRACE_S)

    def write(self, name: str, content: bytes, *, expected: int) -> WriteResult:
        """Replace the object if its version is `expected`; 0 means absent."""
        return self._change("PUT", name, content, expected)

    def delete(self, name: str, *, expected: int) -> WriteResult:
        """Remove the object if its version is `expected`."""
        return self._change("DELETE", name, None, expected)

    def _get(self, path: str, name: str, *, timeout_s: float) -> ReadResult:
        try:
            conn = self._connection(timeout_s)
            conn.request("GET", path)
            resp = conn.getresponse()
            content = resp.read()
        except (OSError, HTTPException) as exc:
            self._drop()
            return PlatformUnavailable(reason=f"{type(exc).__name__}: {exc}")
        return _read_answer(resp, name, content)

    def _change(
        self, method: str, name: str, content: bytes | None, expected: int
    ) -> WriteResult:
        try:
            conn = self._connection(self.timeout_s)
        except OSError as exc:
            self._drop()
            return PlatformUnavailable(reason=f"{type(exc).__name__}: {exc}")
        headers = {"If-Version": str(expected)}
        try:
            conn.request(method, _object_path(name), body=content, headers=headers)
            resp = conn.getresponse()
            resp.read()
        except (OSError, HTTPException) as exc:
            self._drop()
            return WriteUncertain(reason=f"{type(exc).__name__}: {exc}")
        return _read_change(resp, name)

    def _connection(self, timeout_s: float) -> HTTPConnection:
        conn: HTTPConnection | None = getattr(self._local, "conn", None)
        if conn is None:
            parts = urlsplit(self.url)
            conn = HTTPConnection(parts.hostname or "", parts.port, timeout=timeout_s)
            self._local.conn = conn
        conn.timeout = timeout_s
        if conn.sock is None:
            conn.connect()
        conn.sock.settimeout(timeout_s)
        return conn

    def _drop(self) -> None:
        conn: HTTPConnection | None = getattr(self._local, "conn", None)
        if conn is not None:
            conn.close()


def _object_path(name: str) -> str:
    return f"/objects/{quote(name)}"


def _version(resp: HTTPResponse) -> int | None:
    text = resp.getheader("Version", "")
    return int(text) if text.isdecimal() else None


def _read_answer(resp: HTTPResponse, name: str, content: bytes) -> ReadResult:
    version = _version(resp)
    if resp.status == 200 and version is not None:
        return ObjectRead(name=name, version=version, content=content)
    if resp.status == 304:
        return ObjectUnchanged(name=name)
    if resp.status == 404:
        return ObjectAbsent(name=name)
    return PlatformUnavailable(reason=f"status {resp.status}")


def _read_change(resp: HTTPResponse, name: str) -> WriteResult:
    version = _version(resp)
    if resp.status == 200 and version is not None:
        return ObjectWritten(name=name, version=version)
    if resp.status in (404, 409):
        return ObjectConflict(name=name)
    if resp.status in (400, 413):
        return PlatformUnavailable(reason=f"the platform refused: {resp.status}")
    return WriteUncertain(reason=f"status {resp.status}")
