"""A watch of the store is cut off as a server leaves, and the server is used on."""

import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (  # noqa: E402
    CALLERS_PORT,
    STORE_PORT,
    Connection,
    Deployment,
    Record,
    StorePath,
    has_trouble,
    make_configuration,
    make_request_headers,
    make_request_id,
    make_route,
    run_case,
    serve,
    wait_for,
)

ZONE = "eire-east-a"
HOSTS = 4
SERVERS = 8
ROUNDS = 10
DRAIN_S = 2.0
WORK_S = 0.1
INTERVAL_S = 0.05  # from one request to a host to the next
DEADLINE_MS = 2500
# Longer than the longest watch, so that only the watching host still waits in one.
SETTLE_S = 24.0
# The leaving server serves for `Drain` and a little longer, and then exits.
SERVED_S = 2.3
# A new server starts so long before the old one leaves.
NEW_FIRST_S = 1.0
ROUND_PAUSE_S = 0.5


class Runs:
    """Collect which server received what, and what the clients got."""

    def __init__(self) -> None:
        self.received: list[tuple[float, str, str, str]] = []
        self.statuses: dict[str, int | None] = {}


def handle(conn: Connection, record: Record, runs: Runs, name: str) -> None:
    """Run each request for `WORK_S` seconds and answer it."""
    while (request := conn.read_request()) is not None:
        _, target, headers, _ = request
        request_id = headers["snipespring-request-id"]
        now_s = record.write(f"{name} runs {target} {request_id}")
        runs.received.append((now_s, name, target, request_id))
        time.sleep(WORK_S)
        conn.sock.sendall(
            b"HTTP/1.1 200 OK\r\n"
            b"Snipespring-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            + f"Snipespring-Request-Id: {request_id}\r\n".encode()
            + b"Content-Length: 2\r\n\r\nok"
        )


def send_requests(
    deployment: Deployment, runs: Runs, index: int, stopping: threading.Event
) -> None:
    """Send unsafe requests to one host until the case ends."""
    while not stopping.wait(INTERVAL_S):
        args = (deployment, runs, index)
        threading.Thread(target=send, args=args, daemon=True).start()


def send(deployment: Deployment, runs: Runs, index: int) -> None:
    """Send one request and record its answer."""
    request_id = make_request_id()
    conn = HTTPConnection(deployment.gateway_ip(index), CALLERS_PORT, timeout=4.0)
    status: int | None = None
    try:
        headers = make_request_headers(request_id, DEADLINE_MS)
        path = f"/puka111/host-{index + 1}"
        conn.request("POST", path, body=b"deposit", headers=headers)
        resp = conn.getresponse()
        resp.read()
        status = resp.status
    except (OSError, HTTPException):
        pass
    finally:
        conn.close()
    runs.statuses[request_id] = status


def play(record: Record) -> bool:
    """Return whether a server got requests later than `DRAIN_S` after it left."""
    runs = Runs()
    with Deployment(record) as deployment:
        path_ip = f"{deployment.network}.0.3"
        path = StorePath(path_ip, deployment.store)
        deployment.store_for_hosts = f"{path_ip}:{STORE_PORT}"
        route = make_route("/puka111/", "ledger", "unsafe")
        config = make_configuration(1, {"r-1": route}, ["ledger"])
        deployment.put_object("config", "main", config)
        stops: dict[str, Callable[[], None]] = {}

        def start_server(index: int) -> None:
            ip, name = deployment.backend_ip(index), f"i-{index}"
            on_connection = partial(handle, record=record, runs=runs, name=name)
            stops[name] = serve(ip, on_connection)
            deployment.register_server(name, "ledger", ip, ZONE)

        for index in range(SERVERS):
            start_server(index)
        for index in range(HOSTS):
            deployment.start_gateway(f"front-{ZONE}-{index + 1}", index, ZONE)
        for index in range(HOSTS):
            wait_for(lambda index=index: deployment.is_ready(index))
        time.sleep(SETTLE_S)
        stopping = threading.Event()
        for index in range(HOSTS):
            args = (deployment, runs, index, stopping)
            threading.Thread(target=send_requests, args=args, daemon=True).start()
        time.sleep(1.0)
        removed = {}
        for number in range(ROUNDS):
            leaving = f"i-{number}"
            start_server(SERVERS + number)
            time.sleep(NEW_FIRST_S)
            if has_trouble():
                record.write(f"{path.cut_watches('servers')} waiting watch is cut off")
            deployment.delete_object("servers", leaving)
            removed[leaving] = record.write(
                f"the store confirmed that the entry of {leaving} is removed"
            )
            time.sleep(SERVED_S)
            stops[leaving]()
            record.write(f"{leaving} has exited")
            time.sleep(ROUND_PAUSE_S)
        stopping.set()
        time.sleep(DEADLINE_MS / 1000.0)
    return report(record, runs, removed)


def report(record: Record, runs: Runs, removed: dict[str, float]) -> bool:
    """Write what came too late; return whether the rule was broken."""
    late = [
        (now_s - removed[name], name, target, request_id)
        for now_s, name, target, request_id in runs.received
        # The host that watches, the first one, is excused: its connection was reset.
        if now_s > removed.get(name, now_s) + DRAIN_S and not target.endswith("host-1")
    ]
    for after_s, name, target, request_id in late:
        status = runs.statuses.get(request_id)
        record.write(
            f"{name} got {target} {request_id} {after_s:.3f} s after: {status}"
        )
    lost = sum(runs.statuses.get(request_id) != 200 for *_, request_id in late)
    record.write(f"{len(late)} late requests, {lost} of them not served")
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
