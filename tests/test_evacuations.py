"""Evacuate a failure domain before gateway processes and a store."""

import socket
import time
import uuid
from pathlib import Path

from standins.harness import wait_until
from tests.gateway_fleet import GatewayFleet, ReceivedRequest

STOP_S, QUIET_S = 1.5, 1.0
HEAD = "HTTP/1.1 200 OK\r\nSnipespring-Server-Seal: 3e1b\r\nContent-Length: 2\r\n"


def test_servers_of_an_evacuated_domain_get_nothing(tmp_path: Path) -> None:
    # Guards against a kind, a setting or a digest that the processes do not pass on.
    received: list[float] = []

    def answer(conn: socket.socket, req: ReceivedRequest) -> bool:
        received.append(time.monotonic())
        field = f"Snipespring-Request-Id: {req.request_id}\r\n\r\nok"
        conn.sendall((HEAD + field).encode())
        return True

    def is_answered(status: int) -> bool:
        reply = fleet.send("GET", "/ledger/x", uuid.uuid4().hex)
        return reply is not None and reply.status == status

    bounds = {"evacuate": "5000ms"}
    fleet = GatewayFleet(folder=tmp_path, kinds={"ledger": "safe"}, bounds=bounds)
    try:
        fleet.add_server("ledger", answer)
        fleet.start_gateway()
        wait_until(lambda: is_answered(200), "a server")
        fleet.evacuate("a")
        stopped_s = time.monotonic() + STOP_S
        while time.monotonic() < stopped_s + QUIET_S:
            is_answered(503)
        assert is_answered(503)
        assert max(received) < stopped_s
        fleet.end_evacuation("a")
        wait_until(lambda: is_answered(200), "the end")
    finally:
        fleet.close()
