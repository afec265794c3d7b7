"""Serve the platform's callers: decode requests, encode replies."""

import uuid
from collections.abc import Callable, Iterable

from attrs import define

from ..decisions.replies import HOP_BY_HOP_HEADERS
from ..frontends.callers import drop_fields, make_status_line
from ..frontends.http_server import FIELDS_KEY, Environ, StartResponse
from ..records import Header, KeyExtracted, NotRun, Reply, Request
from .headers import (
    CREDENTIAL,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    REQUEST_ID,
    RETRY_AFTER,
    TENANT,
)

__all__ = ["PlatformCallersApp", "read_request"]

Handle = Callable[[Request, Callable[[], bool]], Reply]

MS_PER_S = 1000.0
BODILESS_STATUSES = frozenset({204, 304})
DROPPED_FIELDS = HOP_BY_HOP_HEADERS | {"content-length", "expect"}
# Not forwarded as received: the credential and the fields that the host sets itself.
NOT_FORWARDED_FIELDS = frozenset(
    name.lower()
    for name in (CREDENTIAL, DEADLINE_MS, EXPECT_INSTANCE, REQUEST_ID, TENANT)
)


@define(kw_only=True, eq=False)
class PlatformCallersApp:
    """Serve as the WSGI application of the callers' listener."""

    handle: Handle

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        request = read_request(environ)
        reply = self.handle(request, environ["waitress.client_disconnected"])
        start_response(
            make_status_line(reply.status), _make_reply_headers(request, reply)
        )
        is_bodiless = request.method == "HEAD" or reply.status in BODILESS_STATUSES
        return [] if is_bodiless else [reply.body]


def read_request(environ: Environ) -> Request:
    """Return the record of a WSGI request, with target and headers as received."""
    fields: tuple[Header, ...] = environ[FIELDS_KEY]
    by_name = {header.name.lower(): header.value for header in reversed(fields)}
    return Request(
        request_id=by_name.get(REQUEST_ID.lower(), "") or uuid.uuid4().hex,
        method=environ["REQUEST_METHOD"],
        path=environ["REQUEST_URI"],
        host=by_name.get("host", ""),
        key_location=KeyExtracted(key=by_name.get(CREDENTIAL.lower())),
        headers=_list_forwarded_headers(fields),
        body=environ["wsgi.input"].read(),
        deadline_s=_read_deadline_s(by_name.get(DEADLINE_MS.lower())),
    )


def _list_forwarded_headers(fields: tuple[Header, ...]) -> tuple[Header, ...]:
    remaining = drop_fields(fields, DROPPED_FIELDS)
    # Some servers treat an underscore in a field name as a hyphen, so a caller could
    # otherwise set one of these fields by its name with underscores.
    return tuple(
        header
        for header in remaining
        if header.name.lower().replace("_", "-") not in NOT_FORWARDED_FIELDS
    )


def _read_deadline_s(text: str | None) -> float | None:
    try:
        return None if text is None else max(0.0, float(text) / MS_PER_S)
    except ValueError:
        return None


def _make_reply_headers(request: Request, reply: Reply) -> list[tuple[str, str]]:
    headers = [
        (header.name, " ".join(header.value.split())) for header in reply.headers
    ]
    names = {name.lower() for name, _ in headers}
    if REQUEST_ID.lower() not in names:
        headers.append((REQUEST_ID, request.request_id))
    if reply.status not in BODILESS_STATUSES and "content-length" not in names:
        headers.append(("Content-Length", str(len(reply.body))))
    match reply.outcome:
        case NotRun(retry_after_s=float() as retry_after_s):
            headers.append((RETRY_AFTER, f"{retry_after_s:.3f}"))
        case _:
            pass
    return headers
