"""Send long uploads to servers that answer early and reset, and get odd statuses."""

import socket
import time

import pytest

from snipespring.frontends.backends.tests.scripted_server import Script, run_server
from snipespring.platform.tests.answers import (
    SEAL,
    make_request,
    make_success,
    make_transport,
)
from snipespring.records import AnswerBroken, Answered, SendBroken, ShedByServer

LONG_BODY = bytes(8 * 1024 * 1024)  # more than the buffers of a loopback connection
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # SO_LINGER with a time of 0
READ_BYTES = 65536


def make_early_reset(
    *, read_bytes: int, pause_s: float, rest: bytes = b"", fields: str = ""
) -> Script:
    """Answer with part of a body once `read_bytes` were read, then reset."""

    def answer(conn: socket.socket, request_id: str) -> bool:
        received = 0
        while received < read_bytes:
            received += len(conn.recv(READ_BYTES))
        conn.sendall(make_success(request_id, fields, b"part"))
        time.sleep(pause_s)
        if rest:
            conn.sendall(rest)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        return False

    return answer


@pytest.mark.parametrize("fields", ["", "Connection: close\r\n"])
@pytest.mark.parametrize("read_bytes", [0, 1, 1 << 20, 6 << 20])
@pytest.mark.parametrize("pause_s", [0.0, 0.002, 0.05])
def test_early_answer_without_a_length_that_is_reset_is_no_success(
    fields: str, read_bytes: int, pause_s: float
) -> None:
    # Guards against relaying part of a body as a whole 200 when the connection is
    # reset while the upload is still being written (MIXED).
    for rest in (b"", b" more"):
        script = make_early_reset(
            read_bytes=read_bytes, pause_s=pause_s, rest=rest, fields=fields
        )
        with run_server(script) as server:
            transport = make_transport()
            result = transport.send(server.server_id, make_request(1, LONG_BODY))
        assert isinstance(result, AnswerBroken | SendBroken)
        assert transport.pool.count_idle() == 0


@pytest.mark.parametrize("status", ["000", "099", "600", "700", "999", "20", "2000"])
@pytest.mark.parametrize("mark", ["", SEAL, "Snipespring-Not-Executed: 1\r\n"])
def test_answer_with_a_status_that_http_does_not_define_is_no_answer(
    status: str, mark: str
) -> None:
    # Guards against passing on a status outside 100 to 599, which a caller would take
    # for an answer of the server (MIXED).
    def answer(conn: socket.socket, request_id: str) -> bool:
        head = f"HTTP/1.1 {status} Odd\r\nSnipespring-Request-Id: {request_id}\r\n"
        conn.sendall(f"{head}{mark}Content-Length: 5\r\n\r\nwhole".encode())
        return True

    with run_server(answer) as server:
        result = make_transport().send(server.server_id, make_request(1))
    assert not isinstance(result, Answered | ShedByServer)
