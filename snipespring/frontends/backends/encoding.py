"""Encode attempts for backend servers and decode their answers."""

import re
from math import isfinite, nan
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
    "find_repeated_header",
    "parse_count",
    "parse_reported_load",
    "parse_number",
]

MS_PER_S = 1000.0
REQUEST_ID = "Request-Id"
SHED = "Shed"
# Arithmetic fails with whole numbers beyond those of a float.
COUNT = re.compile(r"[0-9]{1,9}")


@frozen(kw_only=True)
class ServerAnswer:
    """Represent one answer as read from the connection.

    `is_close_delimited` is true if only the orderly close of the connection marks
    the end of the body.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)
    is_close_delimited: bool = False


class BackendEncoding(Protocol):
    """Encode attempts and decode answers in the protocol of a kind of server."""

    @property
    def id_header(self) -> str:
        """Return the name of the header in which a server echoes the request id."""

    @property
    def single_headers(self) -> tuple[str, ...]:
        """Return the names of headers on which what an answer states depends.

        An answer with two fields of one of these names states nothing.
        """

    def wire_id(self, attempt: BackendRequest) -> str:
        """Return the id that is sent with an attempt and echoed by the server."""

    def encode_headers(
        self, server: ServerId, attempt: BackendRequest, *, remaining_s: float
    ) -> tuple[Header, ...]:
        """Return the header fields of an attempt with `remaining_s` seconds left."""

    def decode_answer(
        self, answer: ServerAnswer, attempt: BackendRequest
    ) -> BackendResult:
        """Return the result stated by a complete answer to this attempt."""


class NativeEncoding:
    """Encode attempts and decode answers in the product's own protocol."""

    id_header = REQUEST_ID
    single_headers = (REQUEST_ID, SHED)

    def wire_id(self, attempt: BackendRequest) -> str:
        """Return the attempt's own id, which differs even between retries."""
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
        if find_header(answer.headers, SHED) == "not-run":
            retry_after_s = parse_number(find_header(answer.headers, "Retry-After"))
            return ShedByServer(retry_after_s=retry_after_s, load=load)
        return Answered(
            status=answer.status, headers=answer.headers, body=answer.body, load=load
        )


def find_header(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the value of the first header of that name, or None."""
    wanted = name.lower()
    values = (header.value for header in headers if header.name.lower() == wanted)
    return next(values, None)


def find_repeated_header(
    headers: tuple[Header, ...], names: tuple[str, ...]
) -> str | None:
    """Return the first of the names that several headers have, or None."""
    found = [header.name.lower() for header in headers]
    return next((name for name in names if found.count(name.lower()) > 1), None)


def parse_reported_load(text: str | None) -> ReportedLoad | None:
    """Return the load in a `Load` header, or None if it is absent or malformed."""
    if text is None:
        return None
    fields = dict(part.strip().partition("=")[::2] for part in text.split(";"))
    try:
        return ReportedLoad(
            busy=parse_count(fields["busy"]),
            slots=parse_count(fields["slots"]),
            draining=fields.get("draining") == "1",
        )
    except (KeyError, ValueError):
        return None


def parse_count(text: str) -> int:
    """Return a whole number; raise ValueError if it is malformed or too large."""
    if COUNT.fullmatch(text.strip()) is None:
        raise ValueError("not a whole number of up to nine digits")
    return int(text)


def parse_number(text: str | None) -> float | None:
    """Return a finite number from 0, or None if the text is absent or another."""
    try:
        number = nan if text is None else float(text)
    except ValueError:
        return None
    return number if isfinite(number) and number >= 0.0 else None
