"""Make requests to scripted servers of the platform, and their answers."""

from attrs import evolve

from snipespring.frontends.backends import HttpTransport
from snipespring.frontends.backends.tests.scripted_server import make_attempt
from snipespring.platform.backends import PlatformEncoding
from snipespring.records import BackendRequest
from snipespring.utils import SystemClock

ATTEMPT_TIMEOUT_S = 1.0
SERVER_TIMEOUT_S = 6.0
SEAL = "Snipespring-Server-Seal: 3e1b\r\n"


def make_transport() -> HttpTransport:
    return HttpTransport(clock=SystemClock(), encoding=PlatformEncoding())


def make_request(number: int, body: bytes = b"") -> BackendRequest:
    attempt = make_attempt(number, timeout_s=ATTEMPT_TIMEOUT_S)
    return evolve(
        attempt,
        caller_request_id=f"caller-{number}",
        method="POST" if body else "GET",
        body=body,
    )


def make_success(request_id: str, fields: str = "", body: bytes = b"whole") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nSnipespring-Request-Id: {request_id}\r\n{SEAL}{fields}"
    return head.encode() + b"\r\n" + body


def make_whole_success(request_id: str) -> bytes:
    return make_success(request_id, "Content-Length: 5\r\n")


def make_refusal(request_id: str | None, status: int = 503) -> bytes:
    echo = "" if request_id is None else f"Snipespring-Request-Id: {request_id}\r\n"
    return (
        f"HTTP/1.1 {status} No\r\n{echo}Snipespring-Not-Executed: 1\r\n"
        "Snipespring-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n"
    ).encode()
