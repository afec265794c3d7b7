"""Encode attempts for backend servers and decode their answers."""

from typing import Protocol

from attrs import field, frozen

from ...records import (
    AnswerBroken,
    Answered,
    BackendRequest,
    BackendResult,
    Header,
    ReportedLoad,
    ServerId,
    ShedByServer,
)

__all__ = [
    "BackendEncoding",
    "NativeEncoding",
    "ServerAnswer",
    "find_header",
    "parse_reported_load",
    "parse_seconds",
]

MS_PER_S = 1000.0
REQUEST_ID = "Request-Id"


@frozen(kw_only=True)
class ServerAnswer:
    """Hold one answer as it was read.

    `is_close_delimited` is true where only the orderly end of the connection marks
    the end of the body.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)
    is_close_delimited: bool = False


class BackendEncoding(Protocol):
    """Name the header fields that a kind of backend server understands."""

    @property
    def id_header(self) -> str:
        """Return the header in which a server echoes the id of a request."""

    def wire_id(self, attempt: BackendRequest) -> str:
        """Return the id that goes out with an attempt and is echoed."""

    def encode_headers(
        self, server: ServerId, attempt: BackendRequest, *, remaining_s: float
    ) -> tuple[Header, ...]:
        """Return the header fields of an attempt that has `remaining_s` seconds."""

    def decode_answer(
        self, answer: ServerAnswer, attempt: BackendRequest
    ) -> BackendResult:
        """Return what a whole answer to this very attempt states."""


class NativeEncoding:
    """Speak the product's own protocol to backend servers."""

    id_header = REQUEST_ID

    def wire_id(self, attempt: BackendRequest) -> str:
        """Return the id of the attempt, new for each."""
        return attempt.request_id

    def encode_headers(
        self, server: ServerId, attempt: BackendRequest, *, remaining_s: float
    ) -> tuple[Header, ...]:
        """Return the caller's headers and those that the host sets."""
        fields = [Header(name="Host", value=str(server.address)), *attempt.headers]
        if attempt.organisation is not None:
            fields.append(Header(name="Organisation", value=attempt.organisation))
        fields.append(Header(name=REQUEST_ID, value=attempt.request_id))
        fields.append(
            Header(name="Deadline-Ms", value=str(int(remaining_s * MS_PER_S)))
        )
        return tuple(fields)

    def decode_answer(
        self, answer: ServerAnswer, attempt: BackendRequest
    ) -> BackendResult:
        """Return the answer, or that the server shed the request."""
        if answer.is_close_delimited:
            return AnswerBroken(reason="the answer's length could not be verified")
        load = parse_reported_load(find_header(answer.headers, "Load"))
        if find_header(answer.headers, "Shed") == "not-run":
            retry_after_s = parse_seconds(find_header(answer.headers, "Retry-After"))
            return ShedByServer(retry_after_s=retry_after_s, load=load)
        return Answered(
            status=answer.status, headers=answer.headers, body=answer.body, load=load
        )


def find_header(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the value of the first header of that name, or None."""
    wanted = name.lower()
    values = (one.value for one in headers if one.name.lower() == wanted)
    return next(values, None)


def parse_reported_load(text: str | None) -> ReportedLoad | None:
    """Return the load in a `Load` header, or None if there is none to read."""
    if text is None:
        return None
    fields = dict(part.strip().partition("=")[::2] for part in text.split(";"))
    try:
        return ReportedLoad(
            busy=int(fields["busy"]),
            slots=int(fields["slots"]),
            draining=fields.get("draining") == "1",
        )
    except (KeyError, ValueError):
        return None


def parse_seconds(text: str | None) -> float | None:
    """Return the seconds in a header, or None if there are none to read."""
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
