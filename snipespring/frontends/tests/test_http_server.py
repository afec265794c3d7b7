import os
import select
import socket
import tempfile
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPResponse
from typing import Any

import pytest

from snipespring.blackboard import Board
from snipespring.blackboard.regions import BUFFERED_BODIES
from snipespring.controllers import BodyMemoryLimiter
from snipespring.frontends.http_requests import DEFAULT_MAX_HEAD_BYTES
from snipespring.frontends.http_server import (
    Environ,
    HttpServer,
    StartResponse,
    WsgiApp,
)
from snipespring.frontends.sockets import is_readable
from snipespring.records import Address

TIMEOUT_S = 30.0
PIECE_BYTES = 8192
LARGE_BODY = bytes(range(256)) * 16384  # 4 MiB


def echo(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    body = environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


@contextmanager
def run_server(
    app: WsgiApp, limit_bytes: int = 1 << 30
) -> Iterator[tuple[Address, Board]]:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = Address(ip="127.0.0.1", port=probe.getsockname()[1])
    board = Board()
    server = HttpServer(
        address=address,
        app=app,
        threads=4,
        max_body_bytes=16 * len(LARGE_BODY),
        connections=50,
        body_budget=BodyMemoryLimiter(board=board, max_bytes=limit_bytes),
    )
    server.start()
    try:
        yield address, board
    finally:
        server.close()


def post(address: Address, body: bytes) -> HTTPResponse:
    conn = HTTPConnection(address.ip, address.port, timeout=TIMEOUT_S)
    conn.request("POST", "/", body=body)
    return conn.getresponse()


def wait_until_released(board: Board) -> None:
    sub = board.subscribe((BUFFERED_BODIES,))
    while board.read(BUFFERED_BODIES).size_bytes:
        assert sub.wait(TIMEOUT_S)


def test_large_bodies_never_go_to_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    files: list[object] = []

    def refuse(*args: Any, **kwargs: Any) -> None:
        files.append(args)
        raise OSError("no disk")

    monkeypatch.setattr(tempfile, "TemporaryFile", refuse)
    with run_server(echo) as (address, board):
        assert post(address, LARGE_BODY).read() == LARGE_BODY
        wait_until_released(board)
    assert files == []


def test_bodies_over_the_budget_are_refused_as_not_run() -> None:
    ran = []

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        ran.append(1)
        return echo(environ, start_response)

    with run_server(app, limit_bytes=100_000) as (address, board):
        conn = HTTPConnection(address.ip, address.port, timeout=TIMEOUT_S)
        conn.putrequest("POST", "/")
        conn.putheader("Content-Length", "200000")
        conn.endheaders(b"x" * 100_001)
        refused = conn.getresponse()
        assert refused.status == 503
        assert refused.getheader("Snipespring-Outcome") == "not-run"
        assert refused.getheader("Retry-After")
        assert ran == []
        assert board.read(BUFFERED_BODIES).peak_bytes <= 100_000
        wait_until_released(board)
        assert post(address, b"x" * 90_000).status == 200


CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def send_chunks(address: Address, chunk: bytes, count: int) -> bytes:
    """Return the first bytes of the answer; send no more once it has arrived."""
    content = (b"%x\r\n%s\r\n" % (len(chunk), chunk)) * count + b"0\r\n\r\n"
    with socket.create_connection((address.ip, address.port), TIMEOUT_S) as sock:
        sock.sendall(CHUNKED_HEAD)
        for start in range(0, len(content), PIECE_BYTES):
            if is_readable(sock):
                break
            sock.sendall(content[start : start + PIECE_BYTES])
        return sock.recv(32)


@pytest.mark.parametrize(
    ("chunk", "count", "status"),
    [
        (b"x", 1000, b"200"),
        (b"x" * 64, 20_000, b"200"),
        (b"x", 50_000, b"400"),
        (b"x" * 16, 50_000, b"400"),
    ],
)
def test_a_body_that_is_mostly_framing_is_refused(
    chunk: bytes, count: int, status: bytes
) -> None:
    # Guards against one caller whose tiny chunks occupy the thread of all connections.
    with run_server(echo) as (address, _):
        assert send_chunks(address, chunk, count).startswith(b"HTTP/1.1 " + status)
        assert post(address, b"x").status == 200


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET / HTTP/1.1\r\nA: \x00\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nA: " + b"b" * DEFAULT_MAX_HEAD_BYTES, b"431"),
        (b"POST / HTTP/1.1\r\nContent-Length: 9999999999\r\n\r\n", b"413"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", b"501"),
        (CHUNKED_HEAD + b"g\r\n", b"400"),
    ],
)
def test_a_request_refused_while_it_is_read_is_answered_as_not_run(
    head: bytes, status: bytes
) -> None:
    with run_server(echo) as (address, _):
        with socket.create_connection((address.ip, address.port), TIMEOUT_S) as sock:
            sock.sendall(head)
            answer = sock.recv(4096)
        assert answer.split(b" ")[1] == status
        assert b"\r\nSnipespring-Outcome: not-run\r\n" in answer


def test_the_rest_of_a_refused_body_is_not_read_as_a_request() -> None:
    # Guards against a request that runs though its caller was told otherwise (REFUSED).
    targets: list[str] = []

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        targets.append(environ["REQUEST_URI"])
        return echo(environ, start_response)

    inner = b"POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
    head = b"POST /outer HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
    with run_server(app, limit_bytes=100_000) as (address, _):
        with socket.create_connection((address.ip, address.port), TIMEOUT_S) as sock:
            sock.sendall(head + b"x" * 150_000 + inner + inner)
            answer = b""
            while part := sock.recv(65536):
                answer += part
        assert answer.startswith(b"HTTP/1.1 503")
        assert answer.count(b"HTTP/1.1") == 1
        assert post(address, b"x").status == 200
    assert targets == ["/"]


def test_body_of_a_disconnected_caller_is_released() -> None:
    with run_server(echo) as (address, board):
        sub = board.subscribe((BUFFERED_BODIES,))
        with socket.create_connection((address.ip, address.port)) as conn:
            head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n"
            conn.sendall(head + b"x" * 100)
            while not board.read(BUFFERED_BODIES).size_bytes:
                assert sub.wait(TIMEOUT_S)
        wait_until_released(board)


def test_application_detects_a_disconnected_caller() -> None:
    started, disconnected = threading.Event(), threading.Event()

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        started.set()
        pause = threading.Event()
        for _ in range(3000):
            if environ["waitress.client_disconnected"]():
                disconnected.set()
                break
            pause.wait(0.01)
        return echo(environ, start_response)

    with run_server(app) as (address, _):
        with socket.create_connection((address.ip, address.port)) as conn:
            conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            started.wait(TIMEOUT_S)
        assert disconnected.wait(TIMEOUT_S)


def test_close_while_the_loop_runs_ahead_of_its_wake_up() -> None:
    """Check that close ends the thread without an error in spite of a race.

    The loop may run the closing callback before the byte that wakes it is written.
    """
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = Address(ip="127.0.0.1", port=probe.getsockname()[1])
    server = HttpServer(
        address=address, app=echo, threads=2, max_body_bytes=100, connections=10
    )
    server.start()
    trigger = server._server.trigger
    physical_pull = trigger._physical_pull

    def delay_pull() -> None:
        os.write(trigger.trigger, b"x")
        deadline_s = time.monotonic() + TIMEOUT_S
        while trigger.thunks and time.monotonic() < deadline_s:
            threading.Event().wait(0.001)
        physical_pull()

    trigger._physical_pull = delay_pull
    server.close()
    assert server._thread is not None
    assert not server._thread.is_alive()


@pytest.mark.parametrize("jump_s", [-3600.0, 3600.0])
def test_change_of_the_time_of_day_closes_no_connection(
    monkeypatch: pytest.MonkeyPatch, jump_s: float
) -> None:
    # Guards against idle connections that are all closed when the time of day jumps
    # forward, and never again when it jumps back.
    with run_server(echo) as (address, _):
        conn = HTTPConnection(address.ip, address.port, timeout=TIMEOUT_S)
        conn.request("POST", "/", body=b"1")
        assert conn.getresponse().read() == b"1"
        sock = conn.sock
        read_time_s = time.time
        monkeypatch.setattr(time, "time", lambda: read_time_s() + jump_s)
        for _ in range(3):
            assert post(address, b"2").read() == b"2"
        assert not select.select([sock], [], [], 0.3)[0]
        conn.request("POST", "/", body=b"3")
        assert conn.getresponse().read() == b"3"
        assert conn.sock is sock


@pytest.mark.parametrize("jump_s", [-3600.0, 3600.0])
def test_change_of_the_time_of_day_neither_ends_nor_extends_a_stop(
    monkeypatch: pytest.MonkeyPatch, jump_s: float
) -> None:
    # Guards against a connection that a stopping host takes for idle at once, with its
    # first request on the way, or for new until the time limit.
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = Address(ip="127.0.0.1", port=probe.getsockname()[1])
    server = HttpServer(
        address=address, app=echo, threads=1, max_body_bytes=9, connections=9
    )
    server.start()
    read_time_s = time.time
    with socket.create_connection((server.address.ip, server.address.port)):
        while not server._server.active_channels:
            threading.Event().wait(0.01)
        monkeypatch.setattr(time, "time", lambda: read_time_s() + jump_s)
        assert not server.wait_until_idle(0.0)
        assert server.wait_until_idle(2.0)
    server.close()


def wait_for_size(board: Board, accept: Callable[[int], bool]) -> None:
    until_s = time.monotonic() + TIMEOUT_S
    while not accept(board.read(BUFFERED_BODIES).size_bytes):
        assert time.monotonic() < until_s
        time.sleep(0.01)


@pytest.mark.parametrize("leaves", [False, True])
def test_answer_counts_in_the_budget_until_the_caller_has_read_it(leaves: bool) -> None:
    # Guards against callers that read slowly filling a host's memory with answers that
    # no budget counts.
    answer_bytes = 4 * len(LARGE_BODY)

    def send_large(_: Environ, start_response: StartResponse) -> Iterable[bytes]:
        start_response("200 OK", [("Content-Length", str(answer_bytes))])
        return [bytes(answer_bytes)]

    with run_server(send_large) as (address, board):
        conn = HTTPConnection(address.ip, address.port, timeout=TIMEOUT_S)
        conn.request("GET", "/")
        # The buffers of the connection hold less than half of the answer.
        wait_for_size(board, lambda size: size > answer_bytes // 2)
        if not leaves:
            assert len(conn.getresponse().read()) == answer_bytes
        conn.close()
        wait_for_size(board, lambda size: size == 0)
