"""Drive a gateway process whose servers send bytes without end."""

import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.gateway_fleet import GatewayFleet, ReceivedRequest

CALLERS = 40
TROUBLE_S = 3.0
ENDLESS_S = 6.0
BLOCK_BYTES = 65536
MEMORY_MIB = 300
WORK_S = 0.01


def make_head(request_id: str, fields: str) -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nSnipespring-Request-Id: {request_id}\r\n"
        f"Snipespring-Server-Seal: 3e1b\r\n{fields}"
    ).encode()


CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
ENDLESS: dict[str, tuple[Callable[[str], bytes], bytes]] = {
    "body": (lambda i: make_head(i, "\r\n"), b"x" * BLOCK_BYTES),
    "chunks": (
        lambda i: make_head(i, CHUNKED),
        b"4000\r\n" + b"x" * 0x4000 + b"\r\n",
    ),
    "header lines": (lambda i: make_head(i, ""), b"A: b\r\n" * 10_000),
    "header line": (lambda i: make_head(i, "A: "), b"a" * BLOCK_BYTES),
    "interim answers": (lambda _: b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "trailer": (lambda i: make_head(i, CHUNKED + "0\r\n"), b"A: b\r\n" * 10_000),
}


class Trouble:
    """Answer requests, without end while a form of trouble is set."""

    def __init__(self) -> None:
        self.form: str | None = None

    def answer(self, conn: socket.socket, req: ReceivedRequest) -> bool:
        time.sleep(WORK_S)
        if self.form is None:
            conn.sendall(make_head(req.request_id, "Content-Length: 2\r\n\r\nok"))
            return True
        make_start, block = ENDLESS[self.form]
        conn.settimeout(ENDLESS_S)
        conn.sendall(make_start(req.request_id))
        until_s = time.monotonic() + ENDLESS_S
        while time.monotonic() < until_s:
            conn.sendall(block)
        return False


@pytest.fixture(scope="module")
def trouble() -> Trouble:
    return Trouble()


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory, trouble: Trouble
) -> Iterator[GatewayFleet]:
    folder: Path = tmp_path_factory.mktemp("endless")
    kinds = {"ledger": "unsafe", "histories": "safe"}
    running = GatewayFleet(folder=folder, kinds=kinds, memory_mib=MEMORY_MIB)
    for _ in range(4):
        running.add_server("ledger", trouble.answer)
        running.add_server("histories", Trouble().answer)
    running.start_gateway()
    yield running
    running.close()


@pytest.mark.parametrize("form", list(ENDLESS))
def test_bytes_without_end_leave_a_host_its_memory_and_its_other_callers(
    fleet: GatewayFleet, trouble: Trouble, form: str
) -> None:
    # Guards against a host that keeps what faulty servers send until it has no memory.
    trouble.form = form
    statuses = fleet.load(
        {"ledger": CALLERS, "histories": 4},
        TROUBLE_S,
        pauses_s={"ledger": 0.0, "histories": 0.1},
    )["histories"]
    trouble.form = None
    assert fleet.processes[0].poll() is None
    assert fleet.read_peak_mib() < MEMORY_MIB
    assert statuses
    assert set(statuses) == {200}
