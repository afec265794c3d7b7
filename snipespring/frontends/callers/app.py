"""Serve callers: the address answer and every routed request."""

import json
import uuid
from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import quote

from attrs import define

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
from ..http_server import Environ, StartResponse

__all__ = ["CallersApp"]

ADDRESSES_PATH = "/addresses"
OUTCOME_HEADER = "Snipespring-Outcome"
REQUEST_ID_HEADER = "Snipespring-Request-Id"
DEADLINE_KEY = "HTTP_DEADLINE_MS"
MS_PER_S = 1000.0
SKIPPED_KEYS = frozenset(
    {
        "HTTP_CONNECTION",
        "HTTP_CONTENT_LENGTH",
        "HTTP_DEADLINE_MS",
        "HTTP_EXPECT",
        "HTTP_HOST",
        "HTTP_KEEP_ALIVE",
        "HTTP_PROXY_CONNECTION",
        "HTTP_REQUEST_ID",
        "HTTP_TE",
        "HTTP_TRAILER",
        "HTTP_TRANSFER_ENCODING",
        "HTTP_UPGRADE",
    }
)

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
        if environ["PATH_INFO"] == ADDRESSES_PATH:
            reply = _address_reply(request, self.list_addresses(request))
        else:
            is_gone = environ.get("waitress.client_disconnected", lambda: False)
            reply = self.handle(request, is_gone)
        start_response(_status_line(reply.status), _reply_headers(reply))
        return [reply.body]


def read_request(environ: Environ) -> Request:
    """Return the record of a WSGI request."""
    path = quote(environ["PATH_INFO"].encode("latin-1"), safe="/!$&'()*+,;=:@~-._")
    query = environ.get("QUERY_STRING", "")
    return Request(
        request_id=uuid.uuid4().hex,
        method=environ["REQUEST_METHOD"],
        path=f"{path}?{query}" if query else path,
        headers=tuple(_read_headers(environ)),
        body=environ["wsgi.input"].read(),
        deadline_s=_read_deadline_s(environ.get(DEADLINE_KEY)),
    )


def _read_headers(environ: Environ) -> Iterable[Header]:
    if environ.get("CONTENT_TYPE"):
        yield Header(name="Content-Type", value=environ["CONTENT_TYPE"])
    for key, val in environ.items():
        if key.startswith("HTTP_") and key not in SKIPPED_KEYS:
            name = key[len("HTTP_") :].replace("_", "-").title()
            yield Header(name=name, value=val)


def _read_deadline_s(text: str | None) -> float | None:
    if text is None or not text.isdecimal():
        return None
    return int(text) / MS_PER_S


def _address_reply(request: Request, answer: AddressAnswer) -> Reply:
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


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def _reply_headers(reply: Reply) -> list[tuple[str, str]]:
    headers = [(header.name, header.value) for header in reply.headers]
    headers.append(("Content-Length", str(len(reply.body))))
    headers.append((REQUEST_ID_HEADER, reply.request_id))
    headers.append((OUTCOME_HEADER, _outcome_text(reply.outcome)))
    match reply.outcome:
        case (
            NotRun(retry_after_s=float() as retry_after_s)
            | Unknown(retry_after_s=float() as retry_after_s)
        ):
            headers.append(("Retry-After", f"{retry_after_s:g}"))
        case _:
            pass
    return headers


def _outcome_text(outcome: Outcome) -> str:
    match outcome:
        case Ran():
            return "ran"
        case NotRun():
            return "not-run"
        case Unknown():
            return "unknown"
