"""Evacuate a failure domain before gateway processes and a store."""

import socket
import time
import uuid
from pathlib import Path

from standins.harness import wait_until
from tests.gateway_fleet import GatewayFleet, ReceivedRequest

STOP_S = 1.5
QUIET_S = 1.0


def test_servers_of_an_evacuated_domain_get_nothing(tmp_path: Path) -> None:
    # Guards against a kind, a setting or a digest that the processes do not pass on.
    received: list[float] = []

    def answer(conn: socket.socket, req: ReceivedRequest) -> bool:
        received.append(time.monotonic())
        head = (
            f"HTTP/1.1 200 OK\r\nSnipespring-Request-Id: {req.request_id}\r\n"
            "Snipespring-Server-Seal: 3e1b\r\nContent-Length: 2\r\n\r\nok"
        )
        conn.sendall(head.encode())
        return True

    fleet = GatewayFleet(
        folder=tmp_path, kinds={"ledger": "safe"}, bounds={"evacuate": "5000ms"}
    )
    try:
        fleet.add_server("ledger", answer)
        for _ in range(2):
            fleet.start_gateway()

        def status() -> int:
            reply = fleet.send("GET", "/ledger/x", uuid.uuid4().hex)
            return 0 if reply is None else reply.status

        wait_until(lambda: status() == 200, "a server")
        fleet.evacuate("a")
        acknowledged_s = time.monotonic()
        wait_until(lambda: status() == 503, "the evacuation")
        while time.monotonic() < acknowledged_s + STOP_S + QUIET_S:
            status()
        assert max(received) < acknowledged_s + STOP_S
        fleet.end_evacuation("a")
        wait_until(lambda: status() == 200, "the end")
    finally:
        fleet.close()
