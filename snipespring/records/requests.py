"""Hold a caller's request, the reply to it and its typed outcome."""

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
    """Hold one header field."""

    name: str
    value: str


@frozen(kw_only=True)
class Ran:
    """State that a backend server ran the request."""


@frozen(kw_only=True)
class NotRun:
    """State, with proof, that no backend server ran the request."""

    reason: str
    retry_after_s: float | None = None


@frozen(kw_only=True)
class Unknown:
    """State that the request may have run."""

    reason: str
    retry_after_s: float | None = None


Outcome = Ran | NotRun | Unknown


@frozen(kw_only=True)
class KeyInRequest:
    """Let the key stand anywhere in the headers or the query."""


@frozen(kw_only=True)
class KeyExtracted:
    """Hold the key that the front end took out of its own header, if any."""

    key: str | None = field(repr=False)


KeyLocation = KeyInRequest | KeyExtracted


@frozen(kw_only=True)
class Request:
    """Hold one request as the caller sent it; `path` carries the query."""

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
    """Hold a request whose route, organisation and deadline are settled.

    `deadline_at_s` and `received_s` are readings of the monotonic clock.
    """

    request: Request
    route: RouteRule
    organisation: OrganisationName | None
    deadline_at_s: float
    received_s: float = 0.0


@frozen(kw_only=True)
class Reply:
    """Hold the answer to one request."""

    request_id: str
    status: int
    outcome: Outcome
    headers: tuple[Header, ...] = ()
    body: bytes = field(default=b"", repr=False)


@frozen(kw_only=True)
class AttemptRecord:
    """Tell how one attempt ended, in words for the log."""

    server: ServerId
    result: str
    took_s: float


@frozen(kw_only=True)
class HandledRequest:
    """Hold a reply with the rule that decided it and the attempts before it."""

    reply: Reply
    rule: str
    organisation: OrganisationName | None = None
    service: ServiceName | None = None
    attempts: tuple[AttemptRecord, ...] = ()
