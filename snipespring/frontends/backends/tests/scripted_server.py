"""Provide a server that answers by script, and attempts to send to it."""

import re
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, field

from snipespring.frontends.backends import HttpTransport
from snipespring.records import (
    Address,
    BackendRequest,
    Header,
    ServerId,
    ServiceName,
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
    _accepting: threading.Thread = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self._accepting = threading.Thread(target=self._accept, daemon=True)
        self._accepting.start()

    @property
    def server_id(self) -> ServerId:
        ip, port = self.sock.getsockname()
        return ServerId(
            service=ServiceName("ledger"), address=Address(ip=ip, port=port)
        )

    def close(self) -> None:
        """Stop to accept, then close: the next server may get the same descriptor."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self._accepting.join(TIMEOUT_S)
        self.sock.close()

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
        server.close()


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
