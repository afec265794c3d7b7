"""A caller's request, the reply to it and its typed outcome."""

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
    """One header field."""

    name: str
    value: str


@frozen(kw_only=True)
class Ran:
    """A backend server ran the request."""


@frozen(kw_only=True)
class NotRun:
    """No backend server ran the request, which is proven."""

    reason: str
    retry_after_s: float | None = None


@frozen(kw_only=True)
class Unknown:
    """The request may have run."""

    reason: str
    retry_after_s: float | None = None


Outcome = Ran | NotRun | Unknown


@frozen(kw_only=True)
class KeyInRequest:
    """The key may be anywhere in the headers or the query."""


@frozen(kw_only=True)
class KeyExtracted:
    """The front end removed the key, if any, from the header reserved for it."""

    key: str | None = field(repr=False)


KeyLocation = KeyInRequest | KeyExtracted


@frozen(kw_only=True)
class Request:
    """One request as the caller sent it; `path` includes the query."""

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
    """A request with its route, organisation and deadline.

    `deadline_at_s` and `received_s` are monotonic times.
    """

    request: Request
    route: RouteRule
    organisation: OrganisationName | None
    deadline_at_s: float
    received_s: float = 0.0


@frozen(kw_only=True)
class Reply:
    """The answer to one request."""

    request_id: str
    status: int
    outcome: Outcome
    headers: tuple[Header, ...] = ()
    body: bytes = field(default=b"", repr=False)


@frozen(kw_only=True)
class AttemptRecord:
    """How one attempt ended; `result` is text for the log."""

    server: ServerId
    result: str
    took_s: float


@frozen(kw_only=True)
class HandledRequest:
    """A reply, the rule that decided it and the attempts that preceded it."""

    reply: Reply
    rule: str
    organisation: OrganisationName | None = None
    service: ServiceName | None = None
    attempts: tuple[AttemptRecord, ...] = ()
