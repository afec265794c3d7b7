"""Send attempts to backend servers and classify their results."""

import select
import threading
from collections.abc import Callable
from typing import Protocol

from attrs import define, evolve, field

from ...records import (
    Address,
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
    AnswerOrigin,
    BackendRequest,
    BackendResult,
    ConnectFailed,
    Header,
    SendBroken,
    ServerId,
    ShedByServer,
)
from ...utils import Clock
from ..http_bodies import BodyBudget, UnlimitedBodies
from .bodies import BodyBuffer, CloseDelimitedBody, find_framing, read_body
from .encoding import (
    BackendEncoding,
    NativeEncoding,
    ServerAnswer,
    find_header,
    find_repeated_header,
)
from .heads import (
    AnswerHead,
    MalformedAnswerError,
    encode_request_head,
    read_head,
)
from .pool import ConnectionPool, PooledConnection

__all__ = ["HttpTransport", "Transport"]

CONNECT_TIMEOUT_S = 0.5  # a lost SYN is only retransmitted after 1 s
SEND_CHUNK_BYTES = 16384
MAX_HEAD_BYTES = 65536  # of an answer, with the interim answers before it
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_INTERIM_ANSWERS = 10
MAX_MISMATCHED_ANSWERS = 3  # late answers to other requests, read before giving up
MS_PER_S = 1000.0
BODILESS_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
INTERIM_STATUSES = range(100, 200)
STATUS_SWITCHING_PROTOCOLS = 101


class Transport(Protocol):
    """Send attempts to backend servers."""

    def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
        """Run one attempt and return its result."""

    def cancel(self, attempt_id: str) -> None:
        """Abort a running attempt."""

    def keep_only(self, addresses: frozenset[Address]) -> None:
        """Keep idle connections to these servers only."""


@define(kw_only=True, eq=False)
class _AbortableAttempt:
    """Let another thread abort an attempt until it ends."""

    conn: PooledConnection
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _has_ended: bool = field(default=False, init=False)

    def abort(self) -> None:
        """Abort the connection, unless the attempt has ended."""
        with self._lock:
            if not self._has_ended:
                self.conn.abort()

    def end(self) -> None:
        """Keep the connection from being aborted: another attempt may reuse it."""
        with self._lock:
            self._has_ended = True


@define(kw_only=True, eq=False)
class HttpTransport:
    """Send attempts over HTTP/1.1; never reuse a connection after a failure.

    The bodies of answers that are being read count in `body_budget`.
    """

    clock: Clock
    encoding: BackendEncoding = field(factory=NativeEncoding)
    pool: ConnectionPool = field(factory=ConnectionPool)
    body_budget: BodyBudget = field(factory=UnlimitedBodies)
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    _running: dict[str, _AbortableAttempt] = field(factory=dict, init=False)

    def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
        """Run one attempt within its timeout and return its result."""
        started_s = self.clock.monotonic_s()
        timeout_s = min(self.connect_timeout_s, attempt.timeout_s)
        try:
            conn = self.pool.acquire(
                server.address,
                request_id=self.encoding.wire_id(attempt),
                timeout_s=timeout_s,
            )
        except OSError as exc:
            return ConnectFailed(reason=str(exc))
        running = self._running[attempt.request_id] = _AbortableAttempt(conn=conn)
        is_reusable = False
        try:
            result, is_reusable = self._exchange(conn, server, attempt, started_s)
        finally:
            del self._running[attempt.request_id]
            running.end()
            if is_reusable and not conn.is_aborted:
                self.pool.release(conn)
            else:
                conn.close()
        return result

    def cancel(self, attempt_id: str) -> None:
        """Abort a running attempt; its connection is never reused."""
        running = self._running.get(attempt_id)
        if running is not None:
            running.abort()

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
            left_s = attempt.timeout_s - (self.clock.monotonic_s() - started_s)
            if left_s <= 0.0:
                raise TimeoutError(f"the attempt exceeds {attempt.timeout_s:.3f} s")
            return left_s

        exchange = _Exchange(
            conn=conn,
            attempt=attempt,
            encoding=self.encoding,
            body_budget=self.body_budget,
            remaining_s=remaining_s,
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
    body_budget: BodyBudget
    remaining_s: Callable[[], float]

    def run(self, server: ServerId) -> tuple[BackendResult, bool]:
        """Return the result and whether the connection can be reused."""
        try:
            head = self._encode_head(server)
        except TimeoutError as exc:
            return ConnectFailed(reason=str(exc)), False
        except ValueError as exc:
            reason = f"the request cannot be encoded: {exc}"
            return ConnectFailed(reason=reason), False
        sent_bytes = 0
        for number in range(MAX_MISMATCHED_ANSWERS):
            try:
                if number == 0:
                    self._send_head(head)
                sent_bytes = self._send_body(sent_bytes)
            except TimeoutError:
                return AnswerLate(waited_s=self.attempt.timeout_s), False
            except OSError as exc:
                return SendBroken(reason=str(exc)), False
            try:
                result, is_reusable = self._read_answer(skipped_answers=number)
            except TimeoutError:
                return AnswerLate(waited_s=self.attempt.timeout_s), False
            except (OSError, MalformedAnswerError) as exc:
                return AnswerBroken(reason=f"{type(exc).__name__}: {exc}"), False
            match result:
                case AnswerForeign() if self.conn.answered_ids and is_reusable:
                    # A server that answered a request twice sends the second answer
                    # late, ahead of the answer to this attempt, which may not even
                    # have been sent completely.
                    continue
                case AnswerForeign():
                    return result, False
                case ShedByServer(notices=notices) if number > 0:
                    reason = "a refusal behind an answer to another request"
                    return AnswerBroken(reason=reason, notices=notices), False
                case _:
                    is_sent = sent_bytes == len(self.attempt.body)
                    return result, is_reusable and is_sent and number == 0
        return AnswerBroken(reason="too many answers to other requests"), False

    def _encode_head(self, server: ServerId) -> bytes:
        attempt = self.attempt
        headers = self.encoding.encode_headers(
            server, attempt, remaining_s=self.remaining_s()
        )
        if attempt.body or attempt.method not in BODILESS_METHODS:
            length = Header(name="Content-Length", value=str(len(attempt.body)))
            headers = (*headers, length)
        return encode_request_head(attempt.method, attempt.path or "/", headers)

    def _send_head(self, head: bytes) -> None:
        self.conn.sock.settimeout(self.remaining_s())
        self.conn.sock.sendall(head)

    def _send_body(self, sent_bytes: int) -> int:
        """Send what is left of the body until the server answers or closes.

        Return how many bytes of the body have been sent.
        """
        body, sock = memoryview(self.attempt.body), self.conn.sock
        if len(body) <= SEND_CHUNK_BYTES:
            if sent_bytes < len(body):
                sock.sendall(body)
            return len(body)
        poller = select.poll()
        poller.register(sock, select.POLLIN | select.POLLOUT)
        while sent_bytes < len(body):
            ready = poller.poll(self.remaining_s() * MS_PER_S)
            if not ready:
                raise TimeoutError("the server did not read the body in time")
            if ready[0][1] & ~select.POLLOUT:
                return sent_bytes
            sent_bytes += sock.send(body[sent_bytes : sent_bytes + SEND_CHUNK_BYTES])
        return sent_bytes

    def _read_answer(self, *, skipped_answers: int) -> tuple[BackendResult, bool]:
        """Return what the next answer states and whether another may follow it."""
        head = self._read_head()
        answer = self._read_complete_answer(head)
        result = self._check_request_id(answer)
        stays_open = head.stays_open and not answer.is_close_delimited
        match result:
            case AnswerForeign() | AnswerBroken():
                return result, stays_open and isinstance(result, AnswerForeign)
            case Answered() | ShedByServer():
                has_id = self._find_echoed_id(answer) is not None
                origin = AnswerOrigin(
                    status=answer.status,
                    has_id=has_id,
                    earlier_answers=len(self.conn.answered_ids),
                    skipped_answers=skipped_answers,
                )
                self.conn.answered_ids.add(self.encoding.wire_id(self.attempt))
                return evolve(result, origin=origin), has_id and stays_open
            case _:
                return result, False

    def _read_head(self) -> AnswerHead:
        """Read the head of the next answer that is not an interim one."""
        self.conn.limit_reading(self.remaining_s, MAX_HEAD_BYTES)
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            head = read_head(self.conn.reader)
            if head.status not in INTERIM_STATUSES:
                return head
            if head.status == STATUS_SWITCHING_PROTOCOLS:
                raise MalformedAnswerError("the server left HTTP without being asked")
        raise MalformedAnswerError(f"more than {MAX_INTERIM_ANSWERS} interim answers")

    def _find_echoed_id(self, answer: ServerAnswer) -> str | None:
        return find_header(answer.headers, self.encoding.id_header)

    def _check_request_id(self, answer: ServerAnswer) -> BackendResult:
        """Accept an answer without an id only if it can belong to no other request."""
        repeated = find_repeated_header(answer.headers, self.encoding.single_headers)
        if repeated is not None:
            return AnswerBroken(reason=f"the answer has more than one {repeated}")
        expected_id = self.encoding.wire_id(self.attempt)
        match self._find_echoed_id(answer):
            case None if self.conn.answered_ids:
                return AnswerBroken(reason="no request id on a used connection")
            case str() as received_id if received_id != expected_id:
                return AnswerForeign(expected_id=expected_id, received_id=received_id)
            case _:
                return self.encoding.decode_answer(answer, self.attempt)

    def _read_complete_answer(self, head: AnswerHead) -> ServerAnswer:
        """Read the body; raise OSError or MalformedAnswerError if not complete."""
        framing = find_framing(head, self.attempt.method)
        self.conn.limit_reading(self.remaining_s, MAX_ANSWER_BYTES)
        body = BodyBuffer(budget=self.body_budget)
        try:
            read_body(self.conn.reader, framing, body, max_bytes=MAX_ANSWER_BYTES)
            return ServerAnswer(
                status=head.status,
                headers=head.headers,
                body=bytes(body.content),
                is_close_delimited=isinstance(framing, CloseDelimitedBody),
            )
        finally:
            body.close()
