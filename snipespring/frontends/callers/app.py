"""Serve callers: address queries and routed requests."""

import json
import uuid
from collections.abc import Callable, Iterable
from http import HTTPStatus

from attrs import define, frozen

from ...decisions.replies import HOP_BY_HOP_HEADERS
from ...records import (
    AddressAnswer,
    Header,
    NotRun,
    Outcome,
    Ran,
    Reply,
    Request,
    Unknown,
)
from ..http_server import FIELDS_KEY, Environ, StartResponse

__all__ = ["CallersApp", "drop_fields", "make_status_line"]

ADDRESSES_PATH = "/addresses"
OUTCOME_HEADER = "Snipespring-Outcome"
REQUEST_ID_HEADER = "Snipespring-Request-Id"
DEADLINE_KEY = "HTTP_DEADLINE_MS"
MS_PER_S = 1000.0
MAX_DEADLINE_DIGITS = 9
CONTENT_LENGTH = "content-length"
BODILESS_STATUSES = frozenset({204, 304})
DROPPED_FIELDS = HOP_BY_HOP_HEADERS | {
    "content-length",
    "deadline-ms",
    "expect",
    "host",
    "request-id",
}

Handle = Callable[[Request, Callable[[], bool]], Reply]
ListAddresses = Callable[[Request], AddressAnswer]


@define(kw_only=True, eq=False)
class CallersApp:
    """Serve as the WSGI application of the callers' listener."""

    handle: Handle
    list_addresses: ListAddresses

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        request = read_request(environ)
        if isinstance(request, MalformedRequest):
            reply = _make_malformed_reply(request)
        elif environ["PATH_INFO"] == ADDRESSES_PATH:
            reply = _make_address_reply(request, self.list_addresses(request))
        else:
            is_disconnected = environ.get("waitress.client_disconnected", lambda: False)
            reply = self.handle(request, is_disconnected)
        is_head = environ["REQUEST_METHOD"] == "HEAD"
        headers = _make_reply_headers(reply, is_head=is_head)
        start_response(make_status_line(reply.status), headers)
        return [] if is_head or reply.status in BODILESS_STATUSES else [reply.body]


@frozen(kw_only=True)
class MalformedRequest:
    """Represent a caller's request that cannot be read, and why."""

    reason: str


def read_request(environ: Environ) -> Request | MalformedRequest:
    """Return the record of a WSGI request, or why it is malformed."""
    deadline = environ.get(DEADLINE_KEY)
    if deadline is not None and not _is_deadline(deadline):
        return MalformedRequest(reason="Deadline-Ms is not a number of milliseconds")
    return Request(
        request_id=uuid.uuid4().hex,
        method=environ["REQUEST_METHOD"],
        path=environ["REQUEST_URI"],
        host=environ.get("HTTP_HOST", ""),
        headers=drop_fields(environ[FIELDS_KEY], DROPPED_FIELDS),
        body=environ["wsgi.input"].read(),
        deadline_s=None if deadline is None else int(deadline) / MS_PER_S,
    )


def drop_fields(
    headers: tuple[Header, ...], dropped: frozenset[str]
) -> tuple[Header, ...]:
    """Return the headers except those in `dropped` and those listed in `Connection`.

    The names in `dropped` are in lower case.
    """
    options = {
        option.strip().lower()
        for header in headers
        if header.name.lower() == "connection"
        for option in header.value.split(",")
    }
    excluded = dropped | options
    return tuple(header for header in headers if header.name.lower() not in excluded)


def _is_deadline(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DEADLINE_DIGITS


def _make_malformed_reply(malformed: MalformedRequest) -> Reply:
    return Reply(
        request_id=uuid.uuid4().hex,
        status=HTTPStatus.BAD_REQUEST,
        outcome=NotRun(reason=malformed.reason),
        headers=(Header(name="Content-Type", value="text/plain; charset=utf-8"),),
        body=f"{malformed.reason}\n".encode(),
    )


def _make_address_reply(request: Request, answer: AddressAnswer) -> Reply:
    content = {
        "addresses": [
            {"address": str(offer.address), "domain": offer.domain}
            for offer in answer.offers
        ],
        "lifetime_s": answer.lifetime_s,
        "idempotency_prefix": answer.idempotency_prefix,
    }
    return Reply(
        request_id=request.request_id,
        status=200,
        outcome=Ran(),
        headers=(Header(name="Content-Type", value="application/json"),),
        body=json.dumps(content).encode(),
    )


def make_status_line(status: int) -> str:
    """Return the status with its reason phrase."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def _make_reply_headers(reply: Reply, *, is_head: bool) -> list[tuple[str, str]]:
    headers = [
        (header.name, " ".join(header.value.split()))
        for header in reply.headers
        if is_head or header.name.lower() != CONTENT_LENGTH
    ]
    names = {name.lower() for name, _ in headers}
    if reply.status not in BODILESS_STATUSES and CONTENT_LENGTH not in names:
        headers.append(("Content-Length", str(len(reply.body))))
    headers.append((REQUEST_ID_HEADER, reply.request_id))
    headers.append((OUTCOME_HEADER, _format_outcome(reply.outcome)))
    match reply.outcome:
        case (
            NotRun(retry_after_s=float() as retry_after_s)
            | Unknown(retry_after_s=float() as retry_after_s)
        ):
            headers.append(("Retry-After", f"{retry_after_s:.3f}"))
        case _:
            pass
    return headers


def _format_outcome(outcome: Outcome) -> str:
    match outcome:
        case Ran():
            return "ran"
        case NotRun():
            return "not-run"
        case Unknown():
            return "unknown"
