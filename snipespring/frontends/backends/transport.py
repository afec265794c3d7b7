"""Send attempts to backend servers and classify their results."""

import select
import threading
from collections.abc import Callable
from http.client import HTTPException, HTTPResponse
from typing import Protocol

from attrs import define, field

from ...records import (
    Address,
    AnswerBroken,
    AnswerForeign,
    AnswerLate,
    BackendRequest,
    BackendResult,
    ConnectFailed,
    Header,
    SendBroken,
    ServerId,
)
from ...utils import Clock
from .encoding import BackendEncoding, NativeEncoding, ServerAnswer, find_header
from .pool import ConnectionPool, PooledConnection

__all__ = ["HttpTransport", "Transport"]

CONNECT_TIMEOUT_S = 0.5  # a lost SYN is only retransmitted after 1 s
READ_CHUNK_BYTES = 65536
SEND_CHUNK_BYTES = 16384
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_MISMATCHED_ANSWERS = 3  # late answers to other requests, read before giving up
MS_PER_S = 1000.0
MIN_WAIT_S = 0.001
BODILESS_STATUSES = frozenset({204, 304})
BODILESS_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Transport(Protocol):
    """Send attempts to backend servers."""

    def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
        """Run one attempt and return its result."""

    def cancel(self, attempt_id: str) -> None:
        """Abort a running attempt."""

    def keep_only(self, addresses: frozenset[Address]) -> None:
        """Keep idle connections to these servers only."""


@define(kw_only=True, eq=False)
class HttpTransport:
    """Send attempts over HTTP/1.1; never reuse a connection after a failure."""

    clock: Clock
    encoding: BackendEncoding = field(factory=NativeEncoding)
    pool: ConnectionPool = field(factory=ConnectionPool)
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _running: dict[str, PooledConnection] = field(factory=dict, init=False)

    def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
        """Run one attempt within its timeout and return its result."""
        started_s = self.clock.monotonic_s()
        timeout_s = min(self.connect_timeout_s, attempt.timeout_s)
        try:
            conn = self.pool.acquire(server.address, timeout_s=timeout_s)
        except OSError as exc:
            return ConnectFailed(reason=str(exc))
        with self._lock:
            self._running[attempt.request_id] = conn
        is_reusable = False
        try:
            result, is_reusable = self._exchange(conn, server, attempt, started_s)
        finally:
            with self._lock:
                del self._running[attempt.request_id]
            if is_reusable and not conn.is_aborted:
                self.pool.release(conn)
            else:
                conn.close()
        return result

    def cancel(self, attempt_id: str) -> None:
        """Abort a running attempt; its connection is never reused."""
        with self._lock:
            conn = self._running.get(attempt_id)
            if conn is not None:
                conn.abort()

    def keep_only(self, addresses: frozenset[Address]) -> None:
        """Keep idle connections to these servers only."""
        self.pool.keep_only(addresses)

    def _exchange(
        self,
        conn: PooledConnection,
        server: ServerId,
        attempt: BackendRequest,
        started_s: float,
    ) -> tuple[BackendResult, bool]:
        def remaining_s() -> float:
            elapsed_s = self.clock.monotonic_s() - started_s
            return max(MIN_WAIT_S, attempt.timeout_s - elapsed_s)

        exchange = _Exchange(
            conn=conn, attempt=attempt, encoding=self.encoding, remaining_s=remaining_s
        )
        result, is_reusable = exchange.run(server)
        match result:
            case SendBroken() | AnswerBroken() if conn.is_aborted:
                waited_s = self.clock.monotonic_s() - started_s
                return AnswerLate(waited_s=waited_s), False
            case _:
                return result, is_reusable


@define(kw_only=True, eq=False)
class _Exchange:
    """Send one attempt over one connection and read its answer."""

    conn: PooledConnection
    attempt: BackendRequest
    encoding: BackendEncoding
    remaining_s: Callable[[], float]

    def run(self, server: ServerId) -> tuple[BackendResult, bool]:
        """Return the result and whether the connection can be reused."""
        try:
            self._write_head(server)
        except (HTTPException, ValueError) as exc:
            reason = f"the request cannot be encoded: {exc}"
            return ConnectFailed(reason=reason), False
        try:
            self.conn.sock.settimeout(self.remaining_s())
            self.conn.conn.endheaders()
            is_sent = self._send_body()
        except TimeoutError:
            return AnswerLate(waited_s=self.attempt.timeout_s), False
        except (OSError, HTTPException) as exc:
            return SendBroken(reason=str(exc)), False
        try:
            result, is_reusable = self._read_answer()
        except TimeoutError:
            return AnswerLate(waited_s=self.attempt.timeout_s), False
        except (OSError, HTTPException, ValueError) as exc:
            return AnswerBroken(reason=f"{type(exc).__name__}: {exc}"), False
        return result, is_reusable and is_sent

    def _write_head(self, server: ServerId) -> None:
        http, attempt = self.conn.conn, self.attempt
        http.putrequest(
            attempt.method, attempt.path, skip_host=True, skip_accept_encoding=True
        )
        headers = self.encoding.encode_headers(
            server, attempt, remaining_s=self.remaining_s()
        )
        for header in headers:
            http.putheader(header.name, header.value.encode("latin-1"))
        if attempt.body or attempt.method not in BODILESS_METHODS:
            http.putheader("Content-Length", str(len(attempt.body)))

    def _send_body(self) -> bool:
        """Send the body; return False if the server answers or closes early."""
        body, sock = memoryview(self.attempt.body), self.conn.sock
        if len(body) <= SEND_CHUNK_BYTES:
            if body:
                sock.sendall(body)
            return True
        poller = select.poll()
        poller.register(sock, select.POLLIN | select.POLLOUT)
        sent_bytes = 0
        while sent_bytes < len(body):
            ready = poller.poll(self.remaining_s() * MS_PER_S)
            if not ready:
                raise TimeoutError("the server did not read the body in time")
            if ready[0][1] & ~select.POLLOUT:
                return False
            sent_bytes += sock.send(body[sent_bytes : sent_bytes + SEND_CHUNK_BYTES])
        return True

    def _read_answer(self) -> tuple[BackendResult, bool]:
        self.conn.sock.settimeout(self.remaining_s())
        resp = self.conn.conn.getresponse()
        for _ in range(MAX_MISMATCHED_ANSWERS):
            answer = self._read_complete_answer(resp)
            if answer is None:
                reason = "the answer's length could not be verified"
                return AnswerBroken(reason=reason), False
            result = self._check_request_id(answer)
            match result:
                case AnswerForeign() if self.conn.is_used and not resp.will_close:
                    # A server that answered a request twice sends the second answer
                    # late, ahead of the answer to this attempt.
                    resp = self.conn.next_response(self.attempt.method)
                case AnswerForeign() | AnswerBroken():
                    return result, False
                case _:
                    is_identified = self._find_echoed_id(answer) is not None
                    self.conn.is_used = is_identified
                    return result, is_identified and not resp.will_close
        return AnswerBroken(reason="too many answers to other requests"), False

    def _find_echoed_id(self, answer: ServerAnswer) -> str | None:
        return find_header(answer.headers, self.encoding.id_header)

    def _check_request_id(self, answer: ServerAnswer) -> BackendResult:
        """Accept an answer without an id only if it can belong to no other request."""
        expected_id = self.encoding.wire_id(self.attempt)
        match self._find_echoed_id(answer):
            case None if self.conn.is_used:
                return AnswerBroken(reason="no request id on a used connection")
            case str() as received_id if received_id != expected_id:
                return AnswerForeign(expected_id=expected_id, received_id=received_id)
            case _:
                return self.encoding.decode_answer(answer, self.attempt)

    def _read_complete_answer(self, resp: HTTPResponse) -> ServerAnswer | None:
        """Return the complete answer, or None if its length cannot be verified."""
        headers = tuple(Header(name=name, value=val) for name, val in resp.getheaders())
        if resp.status in BODILESS_STATUSES:
            resp.read()
            return ServerAnswer(status=resp.status, headers=headers, body=b"")
        expected_bytes = resp.length
        lengths = set(resp.headers.get_all("Content-Length", ()))
        if len(lengths) > 1:
            return None
        body = self._read_body(resp)
        if body is None or (expected_bytes is not None and len(body) != expected_bytes):
            return None
        return ServerAnswer(
            status=resp.status,
            headers=headers,
            body=body,
            is_close_delimited=expected_bytes is None and not resp.chunked,
        )

    def _read_body(self, resp: HTTPResponse) -> bytes | None:
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            self.conn.sock.settimeout(self.remaining_s())
            chunk = resp.read(READ_CHUNK_BYTES)
            if not chunk:
                return b"".join(chunks)
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_ANSWER_BYTES:
                return None
