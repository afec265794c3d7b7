"""Stop a server under load at any moment of a request."""

import socket
import threading
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import pytest

from snipespring.frontends.http_server import Environ, HttpServer, StartResponse
from snipespring.records import Address

TIMEOUT_S = 20.0
MAX_IDLE_WAIT_S = 2.5  # less than a planned stop leaves for the last requests
CONNECTIONS = 200
LARGE_ANSWER = bytes(range(256)) * 16384  # 4 MiB, more than the buffers of a link
SMALL_BUFFER_BYTES = 4096
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"


def answer_slowly(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    body = environ["wsgi.input"].read()
    threading.Event().wait(0.02)
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def answer_at_length(
    environ: Environ, start_response: StartResponse
) -> Iterable[bytes]:
    environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", str(len(LARGE_ANSWER)))])
    return [LARGE_ANSWER]


@contextmanager
def run_server(app: object) -> Iterator[HttpServer]:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = Address(ip="127.0.0.1", port=probe.getsockname()[1])
    server = HttpServer(
        address=address,
        app=app,  # type: ignore[arg-type]
        threads=8,
        max_body_bytes=100,
        connections=2 * CONNECTIONS,
    )
    server.start()
    try:
        yield server
    finally:
        server.close()


def stop(server: HttpServer) -> None:
    server.drain()
    server.stop_listening()
    assert server.wait_until_idle(TIMEOUT_S)


def read_all(conn: socket.socket) -> bytes:
    conn.settimeout(TIMEOUT_S)
    parts = []
    while part := conn.recv(1 << 20):
        parts.append(part)
    return b"".join(parts)


def exchange(conn: socket.socket, body: bytes) -> None:
    """Send a request and read its answer, which leaves the connection open."""
    conn.settimeout(TIMEOUT_S)
    conn.sendall(HEAD + body)
    answer = b""
    while not answer.endswith(body):
        answer += conn.recv(4096)


def connect(server: HttpServer) -> socket.socket:
    return socket.create_connection((server.address.ip, server.address.port))


def test_requests_of_connections_that_wait_to_be_accepted_are_answered() -> None:
    with run_server(answer_slowly) as server:
        conns = [connect(server) for _ in range(CONNECTIONS)]
        for conn in conns:
            conn.sendall(HEAD + b"body")
        stop(server)
    answers = [read_all(conn) for conn in conns]
    assert all(answer.endswith(b"body") for answer in answers)


@pytest.mark.parametrize(
    "sent_before", [0, 10, len(HEAD), len(HEAD) + 2, len(HEAD) + 4]
)
def test_a_request_begun_before_the_stop_is_answered(sent_before: int) -> None:
    request = HEAD + b"body"
    with run_server(answer_slowly) as server:
        conn = connect(server)
        exchange(conn, b"warm")
        conn.sendall(request[:sent_before])
        server.drain()
        server.stop_listening()
        conn.sendall(request[sent_before:])
        assert server.wait_until_idle(TIMEOUT_S)
    assert read_all(conn).endswith(b"body")


def test_an_answer_survives_bytes_that_follow_its_request() -> None:
    with run_server(answer_at_length) as server:
        conn = socket.socket()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        conn.connect((server.address.ip, server.address.port))
        server.drain()
        conn.sendall(HEAD + b"body")
        assert conn.recv(1)
        conn.sendall(HEAD + b"next")
        stopping = threading.Thread(target=stop, args=(server,))
        stopping.start()
        time.sleep(0.3)
        assert read_all(conn).endswith(LARGE_ANSWER)
        conn.close()
        stopping.join(TIMEOUT_S)
        assert not stopping.is_alive()


def test_a_caller_that_stays_open_does_not_delay_the_stop() -> None:
    with run_server(answer_slowly) as server:
        conn = connect(server)
        exchange(conn, b"body")
        server.drain()
        server.stop_listening()
        assert server.wait_until_idle(MAX_IDLE_WAIT_S)
    assert read_all(conn) == b""
