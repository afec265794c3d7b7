import re
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest
from attrs import define, field

from snipespring.frontends.backends import HttpTransport
from snipespring.records import (
    Address,
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
    BackendRequest,
    ConnectFailed,
    Header,
    SendBroken,
    ServerId,
    ServiceName,
    ShedByServer,
)
from snipespring.utils import SystemClock

TIMEOUT_S = 30.0
Script = Callable[[socket.socket, str], bool]


@define(kw_only=True, eq=False)
class ScriptedServer:
    """Answer each request by the next script, which returns whether to stay open."""

    scripts: list[Script]
    sock: socket.socket = field(init=False)
    connections: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def server_id(self) -> ServerId:
        ip, port = self.sock.getsockname()
        return ServerId(
            service=ServiceName("ledger"), address=Address(ip=ip, port=port)
        )

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            while (head := read_head(conn)) and self.scripts:
                found = re.search(r"Request-Id: (\S+)", head)
                if not self.scripts.pop(0)(conn, found.group(1) if found else ""):
                    return


def read_head(conn: socket.socket) -> str:
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        try:
            part = conn.recv(1)
        except OSError:
            return ""
        if not part:
            return ""
        data += part
    return data.decode()


def make_answer(
    request_id: str | None, body: bytes = b"whole", length: int | None = None
) -> bytes:
    echo = "" if request_id is None else f"Request-Id: {request_id}\r\n"
    size = len(body) if length is None else length
    head = f"HTTP/1.1 200 OK\r\n{echo}Content-Length: {size}\r\n\r\n"
    return head.encode() + body


def answer_completely(conn: socket.socket, request_id: str) -> bool:
    conn.sendall(make_answer(request_id))
    return True


def make_script(
    make_content: Callable[[str], bytes], stays_open: bool = True
) -> Script:
    def script(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_content(request_id))
        return stays_open

    return script


@contextmanager
def run_server(*scripts: Script) -> Iterator[ScriptedServer]:
    server = ScriptedServer(scripts=list(scripts))
    try:
        yield server
    finally:
        server.sock.shutdown(socket.SHUT_RDWR)
        server.sock.close()


def make_attempt(
    number: int, timeout_s: float = TIMEOUT_S, value: str = "x"
) -> BackendRequest:
    return BackendRequest(
        request_id=f"r{number}",
        attempt=0,
        method="GET",
        path="/",
        organisation=None,
        headers=(Header(name="A", value=value),),
        body=b"",
        timeout_s=timeout_s,
    )


def make_transport() -> HttpTransport:
    return HttpTransport(clock=SystemClock())


INCOMPLETE_ANSWERS: list[Callable[[str], bytes]] = [
    lambda request_id: make_answer(request_id, b"half", length=9),
    lambda request_id: (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n\r\nunknown end".encode()
    ),
    lambda request_id: b"HTTP/1.1 200 OK\r\nContent-Le",
    lambda request_id: b"garbage\r\n\r\n",
    lambda request_id: b"",
    lambda request_id: make_answer(request_id).replace(
        b"Content-", b"Content-Length: 2\r\nContent-", 1
    ),
    lambda request_id: (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
    ).encode(),
]


@pytest.mark.parametrize("make_content", INCOMPLETE_ANSWERS)
def test_incomplete_answer_is_broken(
    make_content: Callable[[str], bytes],
) -> None:
    with run_server(
        make_script(make_content, stays_open=False), answer_completely
    ) as server:
        transport = make_transport()
        assert isinstance(
            transport.send(server.server_id, make_attempt(1)), AnswerBroken
        )
        assert transport.pool.count_idle() == 0
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert server.connections == 2


def test_answer_to_another_request_closes_the_connection() -> None:
    with run_server(
        make_script(lambda request_id: make_answer("other")), answer_completely
    ) as server:
        transport = make_transport()
        result = transport.send(server.server_id, make_attempt(1))
        assert result == AnswerForeign(expected_id="r1", received_id="other")
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert server.connections == 2


@pytest.mark.parametrize(
    "extra",
    [
        lambda request_id: make_answer(request_id),
        lambda request_id: b"trailing",
        lambda request_id: b"\r\n",
    ],
)
def test_bytes_after_an_answer_never_reach_the_next_request(
    extra: Callable[[str], bytes],
) -> None:
    def twice(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_answer(request_id))
        late.wait(TIMEOUT_S)
        conn.sendall(extra(request_id))
        return True

    late = threading.Event()
    with run_server(twice, answer_completely, answer_completely) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        late.set()
        for number in (2, 3):
            result = transport.send(server.server_id, make_attempt(number))
            match result:
                case Answered(body=body, headers=headers):
                    assert body == b"whole"
                    ids = [
                        header.value
                        for header in headers
                        if header.name == "Request-Id"
                    ]
                    assert ids == [f"r{number}"]
                case _:
                    assert isinstance(result, AnswerForeign | AnswerBroken)


def test_answer_without_an_id_is_accepted_only_on_a_new_connection() -> None:
    with run_server(
        make_script(lambda request_id: make_answer(None)),
        answer_completely,
        make_script(lambda request_id: make_answer(None)),
    ) as (server):
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        assert transport.pool.count_idle() == 0
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert transport.pool.count_idle() == 1
        assert isinstance(
            transport.send(server.server_id, make_attempt(3)), AnswerBroken
        )


def test_connection_that_the_server_closed_is_not_reused() -> None:
    closed = threading.Event()

    def close(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_answer(request_id))
        conn.shutdown(socket.SHUT_RDWR)
        closed.set()
        return False

    with run_server(close, answer_completely) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        closed.wait(TIMEOUT_S)
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)


def test_connections_outside_of_the_subset_are_closed() -> None:
    with run_server(answer_completely, answer_completely) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        assert transport.pool.count_idle() == 1
        transport.keep_only(frozenset())
        assert transport.pool.count_idle() == 0
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert transport.pool.count_idle() == 0


def test_attempt_timeout_is_late_and_closes_the_connection() -> None:
    with run_server(lambda conn, request_id: True, answer_completely) as server:
        transport = make_transport()
        result = transport.send(server.server_id, make_attempt(1, timeout_s=0.05))
        assert isinstance(result, AnswerLate)
        assert isinstance(transport.send(server.server_id, make_attempt(2)), Answered)
        assert server.connections == 2


def test_cancelled_attempt_is_late_and_its_connection_is_not_reused() -> None:
    started = threading.Event()

    def trickle(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make_answer(request_id, b"w", length=5))
        started.set()
        return True

    with run_server(answer_completely, trickle, answer_completely) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)

        def cancel() -> None:
            started.wait(TIMEOUT_S)
            transport.cancel("r2")

        canceller = threading.Thread(target=cancel)
        canceller.start()
        assert isinstance(transport.send(server.server_id, make_attempt(2)), AnswerLate)
        canceller.join()
        assert transport.pool.count_idle() == 0
        assert isinstance(transport.send(server.server_id, make_attempt(3)), Answered)
        transport.cancel("r3")
        assert transport.pool.count_idle() == 1


def test_refused_connection_or_unencodable_request_is_a_connect_failure() -> None:
    with run_server(answer_completely) as server:
        server_id = server.server_id
        unencodable = make_attempt(1, value="a\r\nInjected: b")
        assert isinstance(make_transport().send(server_id, unencodable), ConnectFailed)
    assert isinstance(make_transport().send(server_id, make_attempt(2)), ConnectFailed)


def test_reset_after_sending_is_not_a_connect_failure() -> None:
    def reset(conn: socket.socket, request_id: str) -> bool:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    with run_server(answer_completely, reset) as server:
        transport = make_transport()
        assert isinstance(transport.send(server.server_id, make_attempt(1)), Answered)
        result = transport.send(server.server_id, make_attempt(2))
        assert isinstance(result, SendBroken | AnswerBroken)


def test_shed_answer_has_a_retry_delay_and_a_load() -> None:
    def shed(request_id: str) -> bytes:
        fields = "Shed: not-run\r\nRetry-After: 0.5\r\nLoad: busy=3; slots=3\r\n"
        head = f"HTTP/1.1 503 No\r\nRequest-Id: {request_id}\r\n{fields}"
        return f"{head}Content-Length: 0\r\n\r\n".encode()

    with run_server(make_script(shed)) as server:
        result = make_transport().send(server.server_id, make_attempt(1))
        assert isinstance(result, ShedByServer)
        assert result.retry_after_s == 0.5
        assert result.load is not None
