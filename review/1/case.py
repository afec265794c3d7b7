"""Open connections to servers go silent while answers without a length arrive."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from http.client import HTTPConnection
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (  # noqa: E402
    CALLERS_PORT,
    Connection,
    Deployment,
    Record,
    SilentPath,
    has_trouble,
    make_configuration,
    make_request_headers,
    make_request_id,
    make_route,
    run_case,
    serve,
    wait_for,
)

SERVERS = 14
REQUESTS = 28
PIECES = 8
PIECE = b"0123456789" * 50
WHOLE = PIECE * PIECES
PAUSE_S = 0.1  # from one piece of an answer to the next
SILENCE_AFTER_S = 0.45  # in the middle of the answers
TIMEOUT_MS = 2000  # of the route
DEADLINE_MS = 2500
ZONE = "eire-east-a"


def handle(conn: Connection, record: Record) -> None:
    """Answer with a body that ends with the connection, piece by piece."""
    request = conn.read_request()
    if request is None:
        return
    method, target, headers, _ = request
    request_id = headers["snipespring-request-id"]
    record.write(f"server runs {method} {target} {request_id}")
    conn.sock.sendall(
        b"HTTP/1.1 200 OK\r\n"
        b"Snipespring-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        + f"Snipespring-Request-Id: {request_id}\r\n".encode()
        + b"Connection: close\r\n\r\n"
    )
    for _ in range(PIECES):
        time.sleep(PAUSE_S)
        conn.sock.sendall(PIECE)
    record.write(f"server sent all {len(WHOLE)} bytes of {request_id}")


def play(record: Record) -> bool:
    """Return whether a client took part of an answer for a whole success."""
    with Deployment(record) as deployment:
        route = make_route("/puka111/", "ledger", "unsafe", Timeout=f"{TIMEOUT_MS}ms")
        config = make_configuration(1, {"r-1": route}, ["ledger"])
        deployment.put_object("config", "main", config)
        paths = []
        for index in range(SERVERS):
            ip = deployment.backend_ip(index)
            serve(ip, partial(handle, record=record))
            path_ip = deployment.backend_ip(100 + index)
            paths.append(SilentPath(path_ip, ip))
            deployment.register_server(f"i-{index}", "ledger", path_ip, ZONE)
        deployment.start_gateway("front-eire-east-a-1", 0, ZONE)
        wait_for(lambda: deployment.is_ready(0))
        record.write("host ready")
        with ThreadPoolExecutor(REQUESTS) as pool:
            futures = [
                pool.submit(send, deployment, record, number)
                for number in range(REQUESTS)
            ]
            time.sleep(SILENCE_AFTER_S)
            if has_trouble():
                for path in paths:
                    path.silence()
                record.write("the open connections to servers go silent")
            broken = sum(future.result() for future in futures)
    record.write(f"{broken} of {REQUESTS} answers were cut and looked complete")
    return broken > 0


def send(deployment: Deployment, record: Record, number: int) -> bool:
    """Send one request; return whether its answer is a success without all bytes."""
    request_id = make_request_id()
    conn = HTTPConnection(deployment.gateway_ip(0), CALLERS_PORT, timeout=5.0)
    headers = make_request_headers(request_id, DEADLINE_MS)
    record.write(f"client sends POST /puka111/{number} {request_id}")
    conn.request("POST", f"/puka111/{number}", body=b"deposit", headers=headers)
    resp = conn.getresponse()
    body = resp.read()
    conn.close()
    has_seal = resp.getheader("Snipespring-Server-Seal") is not None
    record.write(
        f"client got {resp.status}, {len(body)} bytes of Content-Length "
        f"{resp.getheader('Content-Length')}, seal {has_seal}, {request_id}"
    )
    return 200 <= resp.status < 300 and body != WHOLE


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
