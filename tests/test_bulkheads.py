"""Drive a gateway process while all servers of one service are at fault."""

import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.gateway_fleet import DEADLINE_S, GatewayFleet, ReceivedRequest

MEMORY_MIB = 96  # 48 threads
CALLERS = 90
LOAD_S = 6.0
SERVED_SHARE = 0.99
OUTAGE_S = 8.0


def answer(conn: socket.socket, req: ReceivedRequest) -> bool:
    head = (
        f"HTTP/1.1 200 OK\r\nSnipespring-Request-Id: {req.request_id}\r\n"
        "Snipespring-Server-Seal: 3e1b\r\nContent-Length: 2\r\n\r\n"
    )
    conn.sendall(head.encode() + b"ok")
    return True


def keep_silent(conn: socket.socket, req: ReceivedRequest) -> bool:
    time.sleep(OUTAGE_S)
    return False


def crawl(conn: socket.socket, req: ReceivedRequest) -> bool:
    head = f"HTTP/1.1 200 OK\r\nSnipespring-Request-Id: {req.request_id}\r\n"
    conn.sendall(head.encode() + b"Content-Length: 900\r\n\r\n")
    for _ in range(int(OUTAGE_S)):
        time.sleep(1.0)
        conn.sendall(b"x")
    return False


FAULTS: dict[str, Callable[[socket.socket, ReceivedRequest], bool]] = {
    "silent": keep_silent,
    "a byte a second": crawl,
}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[GatewayFleet]:
    kinds = {"ledger": "unsafe", "stock": "unsafe", "histories": "safe"}
    running = GatewayFleet(folder=tmp_path, kinds=kinds, memory_mib=MEMORY_MIB)
    yield running
    running.close()


@pytest.mark.parametrize("fault", list(FAULTS))
@pytest.mark.parametrize("faulty", [["ledger"], ["ledger", "stock"]])
def test_services_at_fault_leave_a_host_to_the_others(
    fleet: GatewayFleet, fault: str, faulty: list[str]
) -> None:
    # Guards against a service without answers that holds all threads of a host.
    for service in ("ledger", "stock", "histories"):
        for _ in range(2):
            fleet.add_server(service, FAULTS[fault] if service in faulty else answer)
    fleet.start_gateway()
    callers = {service: CALLERS // len(faulty) for service in faulty}
    pauses_s = dict.fromkeys(faulty, 0.02)
    statuses = fleet.load(
        {**callers, "histories": 4},
        LOAD_S,
        pauses_s={**pauses_s, "histories": 0.05},
        patience_s=DEADLINE_S,
    )["histories"]
    assert len(statuses) > 4
    assert statuses.count(200) >= SERVED_SHARE * len(statuses)
