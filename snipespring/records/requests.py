"""Define a caller's request, the reply to it and its outcome."""

from attrs import field, frozen

from .identity import OrganisationName, ServerId, ServiceName
from .rules import RouteRule

__all__ = [
    "AdmittedRequest",
    "AttemptRecord",
    "HandledRequest",
    "Header",
    "KeyLocation",
    "KeyInRequest",
    "KeyExtracted",
    "NotRun",
    "Outcome",
    "Ran",
    "Reply",
    "Request",
    "Unknown",
]


@frozen(kw_only=True)
class Header:
    """Represent one header field."""

    name: str
    value: str


@frozen(kw_only=True)
class Ran:
    """Confirm that a backend server ran the request."""


@frozen(kw_only=True)
class NotRun:
    """Confirm that no backend server ran the request; this is proven."""

    reason: str
    retry_after_s: float | None = None


@frozen(kw_only=True)
class Unknown:
    """Report that the request may have run."""

    reason: str
    retry_after_s: float | None = None


Outcome = Ran | NotRun | Unknown


@frozen(kw_only=True)
class KeyInRequest:
    """Indicate that the organisation's key may be in any header or in the query."""


@frozen(kw_only=True)
class KeyExtracted:
    """Indicate that the front end has taken the organisation's key out of its header.

    `key` is None if the header reserved for the key was absent.
    """

    key: str | None = field(repr=False)


KeyLocation = KeyInRequest | KeyExtracted


@frozen(kw_only=True)
class Request:
    """Represent one request as the caller sent it; `path` includes the query."""

    request_id: str
    method: str
    path: str
    host: str = ""
    key_location: KeyLocation = KeyInRequest()
    headers: tuple[Header, ...] = ()
    body: bytes = field(default=b"", repr=False)
    deadline_s: float | None = None


@frozen(kw_only=True)
class AdmittedRequest:
    """Represent a request with its route, organisation and deadline.

    `deadline_at_s` and `received_s` are monotonic times.
    """

    request: Request
    route: RouteRule
    organisation: OrganisationName | None
    deadline_at_s: float
    received_s: float = 0.0


@frozen(kw_only=True)
class Reply:
    """Represent the answer to one request."""

    request_id: str
    status: int
    outcome: Outcome
    headers: tuple[Header, ...] = ()
    body: bytes = field(default=b"", repr=False)


@frozen(kw_only=True)
class AttemptRecord:
    """Record how one attempt ended; `result` is text for the log."""

    server: ServerId
    result: str
    took_s: float


@frozen(kw_only=True)
class HandledRequest:
    """Record a reply, the rule that decided it and the attempts that preceded it.

    `retry_refusal` tells why a wanted retry was not sent.
    """

    reply: Reply
    rule: str
    organisation: OrganisationName | None = None
    service: ServiceName | None = None
    attempts: tuple[AttemptRecord, ...] = ()
    retry_refusal: str = ""
