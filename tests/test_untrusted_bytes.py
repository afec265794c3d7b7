"""Drive gateway processes with bytes that are costly to parse or impossible."""

import socket
from collections.abc import Iterator
from pathlib import Path
from threading import Event, Thread

import pytest

from tests.gateway_fleet import GatewayFleet, ReceivedRequest

HEAD_BYTES = 60_000
LOAD_S = 2.0
SENDING_PAUSE_S = 0.5
READ_TIMEOUT_S = 4.0
PAUSES_S = {"ledger": 0.05, "histories": 0.05}

ANSWER = (
    "HTTP/1.1 200 OK\r\nSnipespring-Request-Id: {id}\r\n"
    "Snipespring-Server-Seal: 3e1b\r\n{field}Content-Length: 2\r\n\r\nok"
)


class Backend:
    """Answer requests, with a spoiled field in the head while there is one."""

    def __init__(self) -> None:
        self.spoiled_field = ""
        self.has_spoiled = Event()

    def answer(self, conn: socket.socket, req: ReceivedRequest) -> bool:
        answer = ANSWER.format(id=req.request_id, field=self.spoiled_field)
        if self.spoiled_field:
            self.has_spoiled.set()
        conn.sendall(answer.encode())
        return not self.spoiled_field


@pytest.fixture
def faulty() -> Backend:
    return Backend()


@pytest.fixture
def fleet(tmp_path: Path, faulty: Backend) -> Iterator[GatewayFleet]:
    running = GatewayFleet(
        folder=tmp_path, kinds={"ledger": "safe", "histories": "safe"}
    )
    running.add_server("ledger", faulty.answer)
    for _ in range(2):
        running.add_server("histories", Backend().answer)
    running.start_gateway()
    yield running
    running.close()


def serve_both(fleet: GatewayFleet) -> dict[str, list[int | None]]:
    callers = {"ledger": 2, "histories": 2}
    return fleet.load(callers, LOAD_S, pauses_s=PAUSES_S)


def test_a_gateway_serves_others_while_a_server_sends_fields_of_blanks(
    fleet: GatewayFleet, faulty: Backend
) -> None:
    # Guards against a spoiled answer that stops the whole process (CONFIG).
    faulty.spoiled_field = "X-Note: " + " " * HEAD_BYTES + "\0\r\n"
    statuses = serve_both(fleet)
    assert faulty.has_spoiled.is_set()
    assert set(statuses["histories"]) == {200}
    assert None not in statuses["ledger"]


def send_heads(fleet: GatewayFleet, head: bytes, stopping: Event) -> None:
    while not stopping.wait(SENDING_PAUSE_S):
        with socket.create_connection((f"{fleet.network}.1.1", 8080)) as conn:
            conn.settimeout(READ_TIMEOUT_S)
            conn.sendall(head)
            conn.recv(4096)


@pytest.mark.parametrize(
    "field",
    [
        b"X-Note: " + b" " * HEAD_BYTES + b"\0",
        b"X-Note: " + b" " * (HEAD_BYTES // 2) + b"\0",
        b"X-Note: " + b"b " * (HEAD_BYTES // 4) + b"\0",
    ],
)
def test_a_gateway_serves_others_while_a_caller_sends_fields_of_blanks(
    fleet: GatewayFleet, field: bytes
) -> None:
    # Guards against a malformed request that stops the whole process (CONFIG).
    head = b"GET /ledger/x HTTP/1.1\r\nHost: a\r\n" + field + b"\r\n\r\n"
    stopping = Event()
    sender = Thread(target=send_heads, args=(fleet, head, stopping))
    sender.start()
    statuses = serve_both(fleet)
    stopping.set()
    sender.join()
    assert set(statuses["histories"] + statuses["ledger"]) == {200}


def test_a_gateway_delivers_answers_that_report_an_impossible_load(
    fleet: GatewayFleet, faulty: Backend
) -> None:
    # Guards against answers that are lost since no float holds the load (LOST).
    faulty.spoiled_field = "Snipespring-Server-Load: " + "9" * 400 + ",0,3\r\n"
    statuses = serve_both(fleet)
    assert faulty.has_spoiled.is_set()
    assert set(statuses["histories"] + statuses["ledger"]) == {200}
