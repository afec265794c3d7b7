"""Send requests to servers whose answers are repeated, endless or cut."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain, repeat

import pytest
from attrs import define, field

from snipespring.frontends.backends import HttpTransport, ServerAnswer
from snipespring.frontends.backends.tests.scripted_server import (
    Script,
    make_script,
    run_server,
)
from snipespring.frontends.backends.transport import (
    MAX_ANSWER_BYTES,
    MAX_HEAD_BYTES,
)
from snipespring.platform.backends import PlatformEncoding
from snipespring.platform.tests.answers import (
    ATTEMPT_TIMEOUT_S,
    SERVER_TIMEOUT_S,
    make_refusal,
    make_request,
    make_success,
    make_transport,
    make_whole_success,
)
from snipespring.records import (
    AnswerBroken,
    Answered,
    AnswerLate,
    BackendRequest,
    BackendResult,
    ShedByServer,
)
from snipespring.utils import SystemClock

# Both buffers of a loopback connection together hold less than this.
SOCKET_BUFFERS_BYTES = 12 * 1024 * 1024
LARGE_BODY = bytes(8 * 1024 * 1024)


@define(kw_only=True, eq=False)
class LimitedBodies:
    """Count the bytes of bodies in memory up to a limit."""

    limit_bytes: int
    size_bytes: int = 0
    peak_bytes: int = 0
    lock: threading.Lock = field(factory=threading.Lock)

    def reserve(self, size_bytes: int) -> bool:
        with self.lock:
            if self.size_bytes + size_bytes > self.limit_bytes:
                return False
            self.size_bytes += size_bytes
            self.peak_bytes = max(self.peak_bytes, self.size_bytes)
            return True

    def add(self, size_bytes: int) -> None:
        with self.lock:
            self.size_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        with self.lock:
            self.size_bytes -= size_bytes


CHUNKED = "Transfer-Encoding: chunked\r\n"
LENGTH = "Content-Length: 5\r\n"
ENDLESS: dict[str, tuple[Callable[[str], bytes], bytes, int]] = {
    "status line": (lambda _: b"HTTP/1.1 200 ", b"a", MAX_HEAD_BYTES),
    "no answer": (lambda _: b"", b"\0\xff", MAX_HEAD_BYTES),
    "header line": (lambda _: b"HTTP/1.1 200 OK\r\nA: ", b"a", MAX_HEAD_BYTES),
    "header lines": (lambda _: b"HTTP/1.1 200 OK\r\n", b"A: b\r\n", MAX_HEAD_BYTES),
    "interim answers": (
        lambda _: b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        MAX_HEAD_BYTES,
    ),
    "chunk size": (lambda i: make_success(i, CHUNKED, b""), b"0", MAX_HEAD_BYTES),
    "chunk extension": (
        lambda i: make_success(i, CHUNKED, b"5;"),
        b"a=b;",
        MAX_HEAD_BYTES,
    ),
    "chunks": (
        lambda i: make_success(i, CHUNKED, b""),
        b"1\r\nx\r\n",
        MAX_ANSWER_BYTES,
    ),
    "trailer": (
        lambda i: make_success(i, CHUNKED, b"5\r\nwhole\r\n0\r\n"),
        b"A: b\r\n",
        MAX_HEAD_BYTES,
    ),
    "body without a length": (
        lambda i: make_success(i, "", b""),
        b"x",
        MAX_ANSWER_BYTES,
    ),
}


@define(kw_only=True, eq=False)
class EndlessServer:
    """Write the same bytes until the connection ends, fast or byte by byte.

    `ended` is set if the other side closed the connection, not if the server gave up.
    """

    start: Callable[[str], bytes]
    repeated: bytes
    pause_s: float
    sent_bytes: int = 0
    ended: threading.Event = field(factory=threading.Event)

    def serve(self, conn: socket.socket, request_id: str) -> bool:
        until_s = time.monotonic() + SERVER_TIMEOUT_S
        block = self.repeated if self.pause_s else self.repeated * 4096
        parts: Iterator[bytes] = chain([self.start(request_id)], repeat(block))
        conn.settimeout(SERVER_TIMEOUT_S)
        try:
            while time.monotonic() < until_s:
                self.sent_bytes += conn.send(next(parts))
                if self.pause_s:
                    time.sleep(self.pause_s)
        except OSError:
            self.ended.set()
        return False


@pytest.mark.parametrize("place", sorted(ENDLESS))
@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_bytes_without_end_are_bounded_in_time_and_memory(
    place: str, pause_s: float
) -> None:
    start, repeated, limit_bytes = ENDLESS[place]
    endless = EndlessServer(start=start, repeated=repeated, pause_s=pause_s)
    with run_server(endless.serve, make_script(make_whole_success)) as server:
        transport = make_transport()
        result = transport.send(server.server_id, make_request(1))
        assert isinstance(result, AnswerBroken | AnswerLate)
        assert endless.ended.wait(SERVER_TIMEOUT_S)
        assert endless.sent_bytes < limit_bytes + SOCKET_BUFFERS_BYTES
        assert isinstance(transport.send(server.server_id, make_request(2)), Answered)


def test_answers_of_several_servers_share_one_limit_of_memory() -> None:
    bodies = LimitedBodies(limit_bytes=4 * 1024 * 1024)
    transport = HttpTransport(
        clock=SystemClock(), encoding=PlatformEncoding(), body_budget=bodies
    )
    start, repeated, _ = ENDLESS["body without a length"]
    results: list[BackendResult] = []

    def send(number: int) -> None:
        endless = EndlessServer(start=start, repeated=repeated, pause_s=0.0)
        with run_server(endless.serve) as server:
            results.append(transport.send(server.server_id, make_request(number)))

    threads = [threading.Thread(target=send, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(SERVER_TIMEOUT_S)
    assert len(results) == len(threads)
    assert all(isinstance(result, AnswerBroken | AnswerLate) for result in results)
    assert 0 < bodies.peak_bytes <= bodies.limit_bytes
    assert bodies.size_bytes == 0


def test_a_body_that_is_stated_to_be_too_long_is_not_read() -> None:
    fields = f"Content-Length: {MAX_ANSWER_BYTES + 1}\r\n"
    answer = make_script(lambda i: make_success(i, fields, b"x"))
    with run_server(answer) as server:
        result = make_transport().send(server.server_id, make_request(1))
        assert isinstance(result, AnswerBroken)


INCOMPLETE: dict[str, Callable[[str], bytes]] = {
    "length in other digits": lambda i: make_success(i, "Content-Length: 0_5\r\n"),
    "signed length": lambda i: make_success(i, "Content-Length: +5\r\n"),
    "negative length": lambda i: make_success(i, "Content-Length: -5\r\n"),
    "length that is no number": lambda i: make_success(i, "Content-Length: 5x\r\n"),
    "two lengths": lambda i: make_success(i, LENGTH + "Content-Length: 4\r\n"),
    "lengths in one field": lambda i: make_success(i, "Content-Length: 5, 5\r\n"),
    "damaged field before the length": lambda i: make_success(
        i, "no field\r\nContent-Length: 9\r\n"
    ),
    "unknown transfer coding": lambda i: make_success(
        i, "Transfer-Encoding: gzip, chunked\r\n", b"5\r\nwhole\r\n0\r\n\r\n"
    ),
    "length beside chunks": lambda i: make_success(
        i, LENGTH + CHUNKED, b"5\r\nwhole\r\n0\r\n\r\n"
    ),
    "no last chunk": lambda i: make_success(i, CHUNKED, b"5\r\nwhole\r\n"),
    "last chunk without an end": lambda i: make_success(
        i, CHUNKED, b"5\r\nwhole\r\n0\r\n"
    ),
    "cut in a trailer": lambda i: make_success(
        i, CHUNKED, b"5\r\nwhole\r\n0\r\nA: b\r\n"
    ),
    "chunk longer than stated": lambda i: make_success(
        i, CHUNKED, b"3\r\nwhole\r\n0\r\n\r\n"
    ),
    "signed chunk size": lambda i: make_success(
        i, CHUNKED, b"+5\r\nwhole\r\n0\r\n\r\n"
    ),
    "prefixed chunk size": lambda i: make_success(
        i, CHUNKED, b"0x5\r\nwhole\r\n0\r\n\r\n"
    ),
    "cut body": lambda i: make_success(i, "Content-Length: 9\r\n"),
    "cut and compressed": lambda i: make_success(
        i, "Content-Encoding: gzip\r\nContent-Length: 5\r\n", b"\x1f\x8b\x08"
    ),
}


@pytest.mark.parametrize("fault", sorted(INCOMPLETE))
def test_an_incomplete_answer_is_never_a_success(fault: str) -> None:
    with run_server(make_script(INCOMPLETE[fault], stays_open=False)) as server:
        result = make_transport().send(server.server_id, make_request(1))
        assert isinstance(result, AnswerBroken)


def replace_content(content: bytes, _: str) -> bytes:
    return content


def test_a_head_that_breaks_off_anywhere_is_never_an_answer() -> None:
    head = make_success("caller-1", body=b"")
    for size in range(len(head)):
        part = head[:size]
        script = make_script(partial(replace_content, part), stays_open=False)
        with run_server(script) as server:
            result = make_transport().send(server.server_id, make_request(1))
        assert not isinstance(result, Answered | ShedByServer), part


def test_a_body_without_a_length_ends_with_an_orderly_close_only() -> None:
    def reset(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_success(request_id))
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    with run_server(make_script(make_success, stays_open=False), reset) as server:
        transport = make_transport()
        result = transport.send(server.server_id, make_request(1))
        assert isinstance(result, Answered)
        assert result.body == b"whole"
        result = transport.send(server.server_id, make_request(2))
        assert isinstance(result, AnswerBroken)


def make_old_success(request_id: str) -> bytes:
    return make_success(request_id).replace(b"HTTP/1.1", b"HTTP/1.0", 1)


# Each answer, and whether its own bytes state where it ends.
CANCELLED: dict[str, tuple[Callable[[str], bytes], bool]] = {
    "no length": (make_success, False),
    "no length, closing": (lambda i: make_success(i, "Connection: close\r\n"), False),
    "no length, HTTP/1.0": (make_old_success, False),
    "length": (make_whole_success, True),
    "chunks": (lambda i: make_success(i, CHUNKED, b"5\r\nwhole\r\n0\r\n\r\n"), True),
}


@pytest.mark.parametrize("framing", sorted(CANCELLED))
def test_an_answer_cut_by_a_cancelled_attempt_is_never_a_success(framing: str) -> None:
    # Guards against part of an answer without a length being relayed as a whole 200
    # after the host itself shut the connection down (MIXED).
    make_content, states_end = CANCELLED[framing]
    content = make_content("caller-1")
    for size in range(len(content) + 1):
        transport = make_transport()

        def cancel(
            conn: socket.socket,
            _: str,
            part: bytes = content[:size],
            transport: HttpTransport = transport,
        ) -> bool:
            conn.sendall(part)
            transport.cancel("r1")
            return True

        with run_server(cancel) as server:
            result = transport.send(server.server_id, make_request(1))
        if states_end and size == len(content):
            assert isinstance(result, Answered), content[:size]
        else:
            assert isinstance(result, AnswerLate), content[:size]
            assert transport.pool.count_idle() == 0


@pytest.mark.parametrize("framing", sorted(CANCELLED))
def test_an_answer_that_was_whole_before_it_was_cancelled_is_delivered(
    framing: str,
) -> None:
    class CancellingEncoding(PlatformEncoding):
        def decode_answer(
            self, answer: ServerAnswer, attempt: BackendRequest
        ) -> BackendResult:
            transport.cancel(attempt.request_id)
            return super().decode_answer(answer, attempt)

    make_content, _ = CANCELLED[framing]
    transport = HttpTransport(clock=SystemClock(), encoding=CancellingEncoding())
    with run_server(make_script(make_content, stays_open=False)) as server:
        result = transport.send(server.server_id, make_request(1))
    assert isinstance(result, Answered)
    assert result.body == b"whole"
    assert transport.pool.count_idle() == 0


def write_later(content: bytes, written: threading.Event) -> Script:
    """Refuse the first request; write `content` when the second has been read."""

    def script(conn: socket.socket, request_id: str) -> bool:
        for part in (content[:7], content[7:]):
            conn.sendall(part)
            time.sleep(0.05)
        conn.sendall(make_whole_success(request_id))
        written.set()
        return True

    return script


REPEATED: dict[str, bytes] = {
    "refusal": make_refusal("caller-1"),
    "misdirected": make_refusal("caller-1", 421),
    "success": make_whole_success("caller-1"),
    "interim answer": b"HTTP/1.1 100 Continue\r\n\r\n" + make_refusal("caller-1"),
    "early hints": b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n",
    "chunks": make_success("caller-1", CHUNKED, b"5\r\nwhole\r\n0\r\n\r\n"),
}


@pytest.mark.parametrize("kind", sorted(REPEATED))
def test_a_repeated_answer_is_not_taken_for_the_next_one(kind: str) -> None:
    written = threading.Event()
    with run_server(
        make_script(lambda i: make_refusal(i)), write_later(REPEATED[kind], written)
    ) as server:
        transport = make_transport()
        first = transport.send(server.server_id, make_request(1))
        assert isinstance(first, ShedByServer)
        result = transport.send(server.server_id, make_request(2))
        assert written.wait(SERVER_TIMEOUT_S)
        assert isinstance(result, Answered)
        assert server.connections == 1


def test_a_refusal_without_an_id_on_a_used_connection_promises_nothing() -> None:
    with run_server(
        make_script(lambda i: make_refusal(i)),
        make_script(lambda _: make_refusal(None)),
    ) as server:
        transport = make_transport()
        transport.send(server.server_id, make_request(1))
        result = transport.send(server.server_id, make_request(2))
        assert isinstance(result, AnswerBroken)


def test_a_refusal_repeated_within_a_body_does_not_end_the_sending() -> None:
    received: list[int] = []

    def repeat_refusal(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_refusal("caller-1"))
        time.sleep(0.1)
        size = 0
        while size < len(LARGE_BODY):
            size += len(conn.recv(65536))
        received.append(size)
        conn.sendall(make_whole_success(request_id))
        return True

    with run_server(make_script(lambda i: make_refusal(i)), repeat_refusal) as server:
        transport = make_transport()
        transport.send(server.server_id, make_request(1))
        result = transport.send(server.server_id, make_request(2, LARGE_BODY))
        assert isinstance(result, Answered)
        assert received == [len(LARGE_BODY)]


def test_an_early_refusal_of_the_same_request_ends_the_sending() -> None:
    def refuse_early(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_refusal(request_id))
        time.sleep(ATTEMPT_TIMEOUT_S)
        return False

    with run_server(refuse_early) as server:
        transport = make_transport()
        result = transport.send(server.server_id, make_request(1, LARGE_BODY))
        assert isinstance(result, ShedByServer)
        assert transport.pool.count_idle() == 0
