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

LIMIT_S = 30.0
Script = Callable[[socket.socket, str], bool]


@define(kw_only=True, eq=False)
class ScriptedServer:
    """Answer each request by the next script; a script returns whether to go on."""

    scripts: list[Script]
    sock: socket.socket = field(init=False)
    connections: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def server(self) -> ServerId:
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


def answer(
    request_id: str | None, body: bytes = b"whole", length: int | None = None
) -> bytes:
    echo = "" if request_id is None else f"Request-Id: {request_id}\r\n"
    size = len(body) if length is None else length
    head = f"HTTP/1.1 200 OK\r\n{echo}Content-Length: {size}\r\n\r\n"
    return head.encode() + body


def well(conn: socket.socket, request_id: str) -> bool:
    conn.sendall(answer(request_id))
    return True


def raw(make: Callable[[str], bytes], goes_on: bool = True) -> Script:
    def script(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(make(request_id))
        return goes_on

    return script


@contextmanager
def serving(*scripts: Script) -> Iterator[ScriptedServer]:
    server = ScriptedServer(scripts=list(scripts))
    try:
        yield server
    finally:
        server.sock.shutdown(socket.SHUT_RDWR)
        server.sock.close()


def attempt(
    number: int, timeout_s: float = LIMIT_S, value: str = "x"
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


def transport() -> HttpTransport:
    return HttpTransport(clock=SystemClock())


BROKEN: list[Callable[[str], bytes]] = [
    lambda one: answer(one, b"half", length=9),
    lambda one: f"HTTP/1.1 200 OK\r\nRequest-Id: {one}\r\n\r\nunknown end".encode(),
    lambda one: b"HTTP/1.1 200 OK\r\nContent-Le",
    lambda one: b"garbage\r\n\r\n",
    lambda one: b"",
    lambda one: answer(one).replace(b"Content-", b"Content-Length: 2\r\nContent-", 1),
    lambda one: (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {one}\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nwhole\r\n"
    ).encode(),
]


@pytest.mark.parametrize("make", BROKEN)
def test_answer_that_is_not_whole_is_never_relayed(
    make: Callable[[str], bytes],
) -> None:
    with serving(raw(make, goes_on=False), well) as server:
        sender = transport()
        assert isinstance(sender.send(server.server, attempt(1)), AnswerBroken)
        assert sender.pool.count_idle() == 0
        assert isinstance(sender.send(server.server, attempt(2)), Answered)
        assert server.connections == 2


def test_answer_to_another_request_is_foreign_and_ends_the_connection() -> None:
    with serving(raw(lambda one: answer("other")), well) as server:
        sender = transport()
        result = sender.send(server.server, attempt(1))
        assert result == AnswerForeign(expected_id="r1", received_id="other")
        assert isinstance(sender.send(server.server, attempt(2)), Answered)
        assert server.connections == 2


@pytest.mark.parametrize(
    "extra", [lambda one: answer(one), lambda one: b"trailing", lambda one: b"\r\n"]
)
def test_bytes_after_an_answer_never_reach_the_next_request(
    extra: Callable[[str], bytes],
) -> None:
    def twice(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(answer(request_id))
        late.wait(LIMIT_S)
        conn.sendall(extra(request_id))
        return True

    late = threading.Event()
    with serving(twice, well, well) as server:
        sender = transport()
        assert isinstance(sender.send(server.server, attempt(1)), Answered)
        late.set()
        for number in (2, 3):
            result = sender.send(server.server, attempt(number))
            match result:
                case Answered(body=body, headers=headers):
                    assert body == b"whole"
                    ids = [one.value for one in headers if one.name == "Request-Id"]
                    assert ids == [f"r{number}"]
                case _:
                    assert isinstance(result, AnswerForeign | AnswerBroken)


def test_answer_without_an_id_is_taken_only_on_a_new_connection() -> None:
    with serving(
        raw(lambda one: answer(None)), well, raw(lambda one: answer(None))
    ) as (server):
        sender = transport()
        assert isinstance(sender.send(server.server, attempt(1)), Answered)
        assert sender.pool.count_idle() == 0
        assert isinstance(sender.send(server.server, attempt(2)), Answered)
        assert sender.pool.count_idle() == 1
        assert isinstance(sender.send(server.server, attempt(3)), AnswerBroken)


def test_connection_that_the_server_closed_is_not_reused() -> None:
    closed = threading.Event()

    def close(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(answer(request_id))
        conn.shutdown(socket.SHUT_RDWR)
        closed.set()
        return False

    with serving(close, well) as server:
        sender = transport()
        assert isinstance(sender.send(server.server, attempt(1)), Answered)
        closed.wait(LIMIT_S)
        assert isinstance(sender.send(server.server, attempt(2)), Answered)


def test_connections_outside_of_the_subset_are_closed() -> None:
    with serving(well, well) as server:
        sender = transport()
        assert isinstance(sender.send(server.server, attempt(1)), Answered)
        assert sender.pool.count_idle() == 1
        sender.keep_only(frozenset())
        assert sender.pool.count_idle() == 0
        assert isinstance(sender.send(server.server, attempt(2)), Answered)
        assert sender.pool.count_idle() == 0


def test_silence_is_late_and_ends_the_connection() -> None:
    with serving(lambda conn, one: True, well) as server:
        sender = transport()
        result = sender.send(server.server, attempt(1, timeout_s=0.05))
        assert isinstance(result, AnswerLate)
        assert isinstance(sender.send(server.server, attempt(2)), Answered)
        assert server.connections == 2


def test_cancelled_attempt_is_late_and_its_connection_never_used_again() -> None:
    started = threading.Event()

    def trickle(conn: socket.socket, request_id: str) -> bool:
        conn.sendall(answer(request_id, b"w", length=5))
        started.set()
        return True

    with serving(well, trickle, well) as server:
        sender = transport()
        assert isinstance(sender.send(server.server, attempt(1)), Answered)

        def cancel() -> None:
            started.wait(LIMIT_S)
            sender.cancel("r2")

        canceller = threading.Thread(target=cancel)
        canceller.start()
        assert isinstance(sender.send(server.server, attempt(2)), AnswerLate)
        canceller.join()
        assert sender.pool.count_idle() == 0
        assert isinstance(sender.send(server.server, attempt(3)), Answered)
        sender.cancel("r3")
        assert sender.pool.count_idle() == 1


def test_connection_refused_or_request_that_cannot_be_encoded_did_not_run() -> None:
    with serving(well) as server:
        address = server.server
        bad = attempt(1, value="a\r\nInjected: b")
        assert isinstance(transport().send(address, bad), ConnectFailed)
    assert isinstance(transport().send(address, attempt(2)), ConnectFailed)


def test_reset_after_the_request_left_is_not_proof_of_not_run() -> None:
    def reset(conn: socket.socket, request_id: str) -> bool:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return False

    with serving(well, reset) as server:
        sender = transport()
        assert isinstance(sender.send(server.server, attempt(1)), Answered)
        result = sender.send(server.server, attempt(2))
        assert isinstance(result, SendBroken | AnswerBroken)


def test_shed_answer_tells_when_to_come_back() -> None:
    def shed(one: str) -> bytes:
        fields = "Shed: not-run\r\nRetry-After: 0.5\r\nLoad: busy=3; slots=3\r\n"
        head = f"HTTP/1.1 503 No\r\nRequest-Id: {one}\r\n{fields}"
        return f"{head}Content-Length: 0\r\n\r\n".encode()

    with serving(raw(shed)) as server:
        result = transport().send(server.server, attempt(1))
        assert isinstance(result, ShedByServer)
        assert result.retry_after_s == 0.5
        assert result.load is not None
