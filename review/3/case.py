"""A host that stops cuts uploads that it accepted late and passed on."""

import sys
import threading
import time
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from signal import SIGTERM

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

ZONE = "norte-a"
HOST_NAME = f"front-{ZONE}-1"
SERVERS = 6
DEADLINE_MS = 3000
GRACE_S = 6.0
BODY = b"t" * 60000
QUICK_S = 0.1
# Within the longest work of an upload and a short wait in the server's queue.
LONG_S = 2.7
# When the clients send, counted from the SIGTERM.
SENT_AFTER_S = (2.4, 3.02, 3.035, 3.05, 3.065, 3.08)


def handle(conn: Connection, record: Record, run_ids: set[str]) -> None:
    """Run each upload for the time that its path names, and answer it."""
    while (request := conn.read_request()) is not None:
        _, target, headers, body = request
        request_id = headers["snipespring-request-id"]
        record.write(f"server runs {target} {request_id} of {len(body)} bytes")
        run_ids.add(request_id)
        time.sleep(LONG_S if target.endswith("/long") else QUICK_S)
        record.write(f"server answers {target} {request_id}")
        conn.sock.sendall(
            b"HTTP/1.1 200 OK\r\n"
            b"Snipespring-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            + f"Snipespring-Request-Id: {request_id}\r\n".encode()
            + b"Content-Length: 2\r\n\r\nok"
        )


def send(
    conn: HTTPConnection, record: Record, path: str, request_id: str
) -> int | None:
    """Send one upload on a kept connection; return the status, None if it is cut."""
    headers = make_request_headers(request_id, DEADLINE_MS)
    record.write(f"client sends POST {path} {request_id}")
    try:
        conn.request("POST", path, body=BODY, headers=headers)
        resp = conn.getresponse()
        resp.read()
    except (OSError, HTTPException) as exc:
        record.write(f"client got no answer ({type(exc).__name__}) {request_id}")
        return None
    record.write(f"client got {resp.status} {request_id}")
    return resp.status


def play(record: Record) -> bool:
    """Return whether an upload that was passed on got no answer."""
    run_ids: set[str] = set()
    with Deployment(record) as deployment:
        route = make_route("/cufi502/", "ficheros", "upload", Timeout="3000ms")
        config = make_configuration(1, {"r-1": route}, ["ficheros"])
        deployment.put_object("config", "main", config)
        for index in range(SERVERS):
            ip = deployment.backend_ip(index)
            serve(ip, partial(handle, record=record, run_ids=run_ids))
            deployment.register_server(f"i-{index}", "ficheros", ip, ZONE)
        deployment.start_gateway(HOST_NAME, 0, ZONE)
        wait_for(lambda: deployment.is_ready(0))
        ip = deployment.gateway_ip(0)
        conns = [HTTPConnection(ip, CALLERS_PORT, timeout=8.0) for _ in SENT_AFTER_S]
        # The first request opens the connection that the client keeps.
        path = "/cufi502/quick"
        if any(send(conn, record, path, make_request_id()) != 200 for conn in conns):
            raise OSError("a request before the stop was not served")
        time.sleep(3.0)
        stop_s = time.monotonic()
        if has_trouble():
            deployment.signal_gateway(HOST_NAME, SIGTERM)
        statuses: dict[str, int | None] = {}

        def send_late(conn: HTTPConnection, after_s: float) -> None:
            time.sleep(max(0.0, stop_s + after_s - time.monotonic()))
            request_id = make_request_id()
            statuses[request_id] = send(conn, record, "/cufi502/long", request_id)

        threads = [
            threading.Thread(target=send_late, args=pair)
            for pair in zip(conns, SENT_AFTER_S, strict=True)
        ]
        for thread in threads:
            thread.start()
        if has_trouble():
            code = deployment.wait_for_exit(HOST_NAME, GRACE_S)
            after_s = time.monotonic() - stop_s
            record.write(f"the host exited with {code} after {after_s:.2f} s")
        for thread in threads:
            thread.join()
    cut = [name for name, status in statuses.items() if status is None]
    lost = run_ids.intersection(cut)
    record.write(f"{len(lost)} of {len(statuses)} uploads ran and got no answer")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
