"""A host is killed while a server leaves, and the others keep using that server."""

import sys
import threading
import time
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from signal import SIGKILL

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (  # noqa: E402
    CALLERS_PORT,
    Connection,
    Deployment,
    Record,
    has_trouble,
    make_configuration,
    make_request_headers,
    make_request_id,
    make_route,
    run_case,
    serve,
    wait_for,
)

HOSTS = 6
SERVERS = 8
ROUNDS = 3
ZONE = "eire-east-a"
WORK_S = 0.24
INTERVAL_S = 0.16  # from one request of a client to the next
DEADLINE_MS = 2500
SETTLE_S = 8.0  # until the hosts know each other and are in touch
RESTART_DELAY_S = 0.05
REMOVED_AFTER_S = 0.3  # after the kill
DRAIN_S = 2.0
# The leaving server serves this long after its entry is removed, and then exits.
SERVED_S = 8.0


class Runs:
    """Collect when which server received which host's requests."""

    def __init__(self) -> None:
        self.received: list[tuple[float, str, str, str]] = []
        self.answers: list[tuple[float, str, int | None]] = []


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
    deployment: Deployment,
    record: Record,
    runs: Runs,
    index: int,
    stopping: threading.Event,
) -> None:
    """Send unsafe requests to one host, each on a new connection."""
    while not stopping.wait(INTERVAL_S):
        threading.Thread(
            target=send, args=(deployment, record, runs, index), daemon=True
        ).start()


def send(deployment: Deployment, record: Record, runs: Runs, index: int) -> None:
    """Send one request and record its answer."""
    request_id = make_request_id()
    target = f"/puka111/host-{index + 1}"
    record.write(f"client sends POST {target} {request_id}")
    conn = HTTPConnection(deployment.gateway_ip(index), CALLERS_PORT, timeout=4.0)
    status: int | None = None
    try:
        headers = make_request_headers(request_id, DEADLINE_MS)
        conn.request("POST", target, body=b"deposit", headers=headers)
        resp = conn.getresponse()
        resp.read()
        status = resp.status
    except (OSError, HTTPException):
        pass
    finally:
        conn.close()
    now_s = record.write(f"client got {status or 'no answer'} {request_id}")
    runs.answers.append((now_s, request_id, status))


def play(record: Record) -> bool:
    """Return whether a server got requests later than `DRAIN_S` after it left."""
    runs = Runs()
    with Deployment(record) as deployment:
        route = make_route("/puka111/", "ledger", "unsafe")
        config = make_configuration(1, {"r-1": route}, ["ledger"])
        deployment.put_object("config", "main", config)
        stops = {}
        for index in range(SERVERS):
            ip, name = deployment.backend_ip(index), f"i-{index}"
            stops[name] = serve(
                ip, partial(handle, record=record, runs=runs, name=name)
            )
            deployment.register_server(name, "ledger", ip, ZONE)
        names = [f"front-{ZONE}-{index + 1}" for index in range(HOSTS)]
        for index, name in enumerate(names):
            deployment.start_gateway(name, index, ZONE)
        for index in range(HOSTS):
            wait_for(lambda index=index: deployment.is_ready(index))
        time.sleep(SETTLE_S)
        record.write("hosts ready")
        stopping = threading.Event()
        for index in range(HOSTS):
            threading.Thread(
                target=send_requests,
                args=(deployment, record, runs, index, stopping),
                daemon=True,
            ).start()
        time.sleep(1.0)
        removed = {}
        for number in range(ROUNDS):
            leaving = f"i-{number}"
            removed[leaving] = remove_server(deployment, record, names[0], leaving)
            time.sleep(SERVED_S)
            stops[leaving]()
            record.write(f"{leaving} has exited")
            time.sleep(1.0)
        stopping.set()
        time.sleep(DEADLINE_MS / 1000.0)
    return report(record, runs, removed)


def remove_server(
    deployment: Deployment, record: Record, first_host: str, leaving: str
) -> float:
    """Remove the entry of a server beside the kill of a host; return when."""
    if has_trouble():
        deployment.signal_gateway(first_host, SIGKILL)
        time.sleep(RESTART_DELAY_S)
        deployment.start_gateway(first_host, 0, ZONE)
        record.write(f"{first_host} starts again")
        time.sleep(REMOVED_AFTER_S - RESTART_DELAY_S)
    deployment.delete_object("servers", leaving)
    return record.write(f"the store confirmed that the entry of {leaving} is removed")


def report(record: Record, runs: Runs, removed: dict[str, float]) -> bool:
    """Write what came too late; return whether the rule was broken."""
    late = [
        (now_s, name, target, request_id)
        for now_s, name, target, request_id in runs.received
        if name in removed
        and now_s > removed[name] + DRAIN_S
        # The host that was killed is excused.
        and not (has_trouble() and target.endswith("host-1"))
    ]
    for now_s, name, target, request_id in late:
        after_s = now_s - removed[name]
        record.write(f"{name} got {target} {request_id} {after_s:.2f} s after")
    statuses = {request_id: status for _, request_id, status in runs.answers}
    failed = [
        request_id
        for _, _, _, request_id in late
        if statuses.get(request_id) not in (200, None)
    ]
    record.write(f"{len(late)} late requests, {len(failed)} of them not served")
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
