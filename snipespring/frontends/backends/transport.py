"""Carry one attempt to a backend server and name what came of it."""

import threading
from collections.abc import Callable
from http.client import HTTPException, HTTPResponse
from typing import Protocol

from attrs import define, field

from ...records import (
    Address,
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
    BackendRequest,
    BackendResult,
    ConnectFailed,
    Header,
    ReportedLoad,
    SendBroken,
    ServerId,
    ShedByServer,
)
from ...utils import Clock
from .pool import ConnectionPool, PooledConnection

__all__ = ["HttpTransport", "Transport"]

CONNECT_TIMEOUT_S = 0.5
READ_CHUNK_BYTES = 65536
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MS_PER_S = 1000.0
MIN_WAIT_S = 0.001
REQUEST_ID = "Request-Id"
BODILESS_STATUSES = frozenset({204, 304})


class Transport(Protocol):
    """Send attempts to backend servers."""

    def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
        """Run one attempt and return what came of it."""

    def cancel(self, attempt_id: str) -> None:
        """Break off an attempt that waits for its answer."""

    def keep_only(self, addresses: frozenset[Address]) -> None:
        """Keep idle connections to these servers only."""


@define(kw_only=True, eq=False)
class HttpTransport:
    """Send attempts over HTTP/1.1; never reuse a connection after a failure."""

    clock: Clock
    pool: ConnectionPool = field(factory=ConnectionPool)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _running: dict[str, PooledConnection] = field(factory=dict, init=False)

    def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
        """Run one attempt within its timeout and return what came of it."""
        started_s = self.clock.monotonic_s()
        timeout_s = min(CONNECT_TIMEOUT_S, attempt.timeout_s)
        try:
            conn = self.pool.take(server.address, timeout_s=timeout_s)
        except OSError as exc:
            return ConnectFailed(reason=str(exc))
        with self._lock:
            self._running[attempt.request_id] = conn
        is_reusable = False
        try:
            result, is_reusable = self._exchange(conn, attempt, started_s)
        finally:
            with self._lock:
                del self._running[attempt.request_id]
            if is_reusable and not conn.is_aborted:
                self.pool.give_back(conn)
            else:
                conn.close()
        return result

    def cancel(self, attempt_id: str) -> None:
        """Break off a running attempt; its connection is never used again."""
        with self._lock:
            conn = self._running.get(attempt_id)
            if conn is not None:
                conn.abort()

    def keep_only(self, addresses: frozenset[Address]) -> None:
        """Keep idle connections to these servers only."""
        self.pool.keep_only(addresses)

    def _exchange(
        self, conn: PooledConnection, attempt: BackendRequest, started_s: float
    ) -> tuple[BackendResult, bool]:
        def left_s() -> float:
            spent_s = self.clock.monotonic_s() - started_s
            return max(MIN_WAIT_S, attempt.timeout_s - spent_s)

        result, is_reusable = _send_and_read(conn, attempt, left_s)
        match result:
            case SendBroken() | AnswerBroken() if conn.is_aborted:
                waited_s = self.clock.monotonic_s() - started_s
                return AnswerLate(waited_s=waited_s), False
            case _:
                return result, is_reusable


def _send_and_read(
    conn: PooledConnection, attempt: BackendRequest, left_s: Callable[[], float]
) -> tuple[BackendResult, bool]:
    try:
        _write_head(conn, attempt, left_s())
    except (HTTPException, ValueError) as exc:
        return ConnectFailed(reason=f"the request cannot be encoded: {exc}"), False
    try:
        conn.sock.settimeout(left_s())
        conn.conn.endheaders(attempt.body or None)
    except TimeoutError:
        return AnswerLate(waited_s=attempt.timeout_s), False
    except (OSError, HTTPException) as exc:
        return SendBroken(reason=str(exc)), False
    try:
        conn.sock.settimeout(left_s())
        resp = conn.conn.getresponse()
        body = _read_whole(conn, resp, left_s)
    except TimeoutError:
        return AnswerLate(waited_s=attempt.timeout_s), False
    except (OSError, HTTPException, ValueError) as exc:
        reason = f"{type(exc).__name__}: {exc}"
        return AnswerBroken(reason=reason), False
    if body is None:
        return AnswerBroken(reason="the answer's length could not be verified"), False
    return _check_owner(conn, resp, body, attempt)


def _check_owner(
    conn: PooledConnection, resp: HTTPResponse, body: bytes, attempt: BackendRequest
) -> tuple[BackendResult, bool]:
    """Accept an answer without an id only where no other request can own it."""
    match resp.getheader(REQUEST_ID):
        case None if conn.is_used:
            return AnswerBroken(reason="no request id on a used connection"), False
        case None:
            return _read_result(resp, body), False
        case str() as received_id if received_id != attempt.request_id:
            foreign = AnswerForeign(
                expected_id=attempt.request_id, received_id=received_id
            )
            return foreign, False
        case _:
            conn.is_used = True
            return _read_result(resp, body), not resp.will_close


def _write_head(conn: PooledConnection, attempt: BackendRequest, left_s: float) -> None:
    http = conn.conn
    http.putrequest(
        attempt.method, attempt.path, skip_host=True, skip_accept_encoding=True
    )
    http.putheader("Host", str(conn.address))
    for header in attempt.headers:
        http.putheader(header.name, header.value.encode("latin-1"))
    if attempt.organisation is not None:
        http.putheader("Organisation", attempt.organisation)
    http.putheader(REQUEST_ID, attempt.request_id)
    http.putheader("Deadline-Ms", str(int(left_s * MS_PER_S)))
    if attempt.body or attempt.method not in ("GET", "HEAD", "OPTIONS"):
        http.putheader("Content-Length", str(len(attempt.body)))


def _read_whole(
    conn: PooledConnection, resp: HTTPResponse, left_s: Callable[[], float]
) -> bytes | None:
    """Return the whole body, or None where its end cannot be proved."""
    if resp.status in BODILESS_STATUSES:
        resp.read()
        return b""
    expected = resp.length
    lengths = set(resp.headers.get_all("Content-Length", ()))
    if len(lengths) > 1 or (expected is None and not resp.chunked):
        return None
    parts: list[bytes] = []
    size = 0
    while True:
        conn.sock.settimeout(left_s())
        part = resp.read(READ_CHUNK_BYTES)
        if not part:
            break
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            return None
    if expected is not None and size != expected:
        return None
    return b"".join(parts)


def _read_result(resp: HTTPResponse, body: bytes) -> BackendResult:
    load = parse_reported_load(resp.getheader("Load"))
    if resp.getheader("Shed") == "not-run":
        retry_after_s = _parse_seconds(resp.getheader("Retry-After"))
        return ShedByServer(retry_after_s=retry_after_s, load=load)
    headers = tuple(Header(name=name, value=val) for name, val in resp.getheaders())
    return Answered(status=resp.status, headers=headers, body=body, load=load)


def parse_reported_load(text: str | None) -> ReportedLoad | None:
    """Return the load in a `Load` header, or None if there is none to read."""
    if text is None:
        return None
    fields = dict(part.strip().partition("=")[::2] for part in text.split(";"))
    try:
        return ReportedLoad(
            busy=int(fields["busy"]),
            slots=int(fields["slots"]),
            draining=fields.get("draining") == "1",
        )
    except (KeyError, ValueError):
        return None


def _parse_seconds(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
