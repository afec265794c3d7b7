"""Parse requests in linear time, with the header fields as received.

The expressions of the HTTP library take more than linear time on some bytes that they
do not match. It therefore gets heads that have been checked, in one piece and in the
form that its expressions match at the first attempt, and no chunks.
"""

import re
from collections.abc import Iterable
from typing import Any

from attrs import frozen
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import BadRequest, Error

from ..records import Header
from .http_bodies import is_mostly_framing
from .http_chunks import ChunkedReceiver
from .http_fields import CRLF, TOKEN, parse_field

__all__ = ["DEFAULT_MAX_HEAD_BYTES", "RequestParser"]

DEFAULT_MAX_HEAD_BYTES = 32768
HEAD_END = CRLF + CRLF
REQUEST_LINE = re.compile(TOKEN.pattern + rb" [^ ]+(?: HTTP/[0-9]\.[0-9])?")
MAX_SHOWN_BYTES = 40
RETRY_AFTER_S = "1"


class _BodyBudgetExceededError(Error):  # type: ignore[misc]
    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident: str | None = None) -> Any:
        status, headers, body = super().to_response(ident)
        return status, [*headers, ("Retry-After", RETRY_AFTER_S)], body


@frozen(kw_only=True)
class _Refusal:
    """Mark the response to a request that was refused while it was read as not run."""

    error: Error

    def to_response(self, ident: str | None = None) -> Any:
        """Return the status, the headers and the body."""
        status, headers, body = self.error.to_response(ident)
        return status, [*headers, ("Snipespring-Outcome", "not-run")], body


class RequestParser(HTTPRequestParser):  # type: ignore[misc]
    """Refuse malformed and oversized heads, and bodies beyond the memory budget.

    `fields` are the header fields as received. A body that is mostly framing is refused
    too.
    """

    fields: tuple[Header, ...] = ()
    body_rcv: Any = None
    reserved_bytes = 0
    error: Any = None

    def __init__(self, adj: Any) -> None:
        super().__init__(adj)
        self._head = bytearray()

    def received(self, data: bytes) -> int:
        """Parse data and return how many bytes of it belong to this request."""
        if self.completed:
            return 0
        if self.body_rcv is None:
            consumed = self._receive_head(data)
        else:
            consumed = self._receive_body(data)
        match self.error:
            case Error() as error:
                self.error = _Refusal(error=error)
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse a complete request head; raise ParsingError if it is malformed."""
        line, _, block = header_plus.partition(CRLF)
        if not REQUEST_LINE.fullmatch(line.rstrip()):
            raise ParsingError(f"not a request line: {line[:MAX_SHOWN_BYTES]!r}")
        fields = tuple(_parse_fields(block))
        try:
            super().parse_header(line + CRLF + _join_repeated_fields(fields))
        except ValueError as exc:
            raise ParsingError(f"malformed head: {exc}") from exc
        self.fields = fields
        if self.chunked:
            self.body_rcv = ChunkedReceiver(buf=self.body_rcv.getbuf())
        if self.version == "1.0" and "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding is not part of HTTP/1.0")

    def close(self) -> None:
        """Close the parser and release the bytes reserved for the body."""
        super().close()
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        if reserved:
            self.adj.body_budget.release(reserved)

    def _receive_head(self, data: bytes) -> int:
        searched_bytes = max(len(self._head) - len(HEAD_END) + 1, 0)
        self._head += data
        end = self._head.find(HEAD_END, searched_bytes)
        size_bytes = len(self._head) if end < 0 else end + len(HEAD_END)
        consumed = len(data) - (len(self._head) - size_bytes)
        if end >= 0 or size_bytes >= self.adj.max_request_header_size:
            # The library refuses a head that is too large, complete or not.
            super().received(bytes(self._head[:size_bytes]))
            self._head.clear()
        return consumed

    def _receive_body(self, data: bytes) -> int:
        consumed: int = super().received(data)
        added_bytes = self.body_bytes_received - self.reserved_bytes
        if added_bytes <= 0 or self.error:
            return consumed
        content_bytes = len(self.body_rcv)
        framing_bytes = self.body_bytes_received - content_bytes
        if is_mostly_framing(framing_bytes, content_bytes):
            self.error = BadRequest(
                f"the chunks have {framing_bytes} bytes of framing for {content_bytes} "
                "bytes of content"
            )
            self.completed = True
            return consumed
        if self.adj.body_budget.reserve(added_bytes):
            self.reserved_bytes += added_bytes
        else:
            self.error = _BodyBudgetExceededError(
                "this host holds too many request bodies"
            )
            self.completed = True
        return consumed


def _parse_fields(block: bytes) -> Iterable[Header]:
    """Return the fields of a head; raise ParsingError if one is malformed."""
    if block.startswith((b" ", b"\t")):
        raise ParsingError("the first header field is folded")
    unfolded = block.replace(b"\r\n ", b" ").replace(b"\r\n\t", b"\t")
    for line in unfolded.split(CRLF):
        if not line:
            continue
        header = parse_field(line)
        if header is None:
            raise ParsingError(f"not a header field: {line[:MAX_SHOWN_BYTES]!r}")
        yield header


def _join_repeated_fields(fields: Iterable[Header]) -> bytes:
    """Return the lines of the fields, with one line for each name.

    The library would copy the earlier values of a name for each further one.
    """
    values: dict[str, list[str]] = {}
    for header in fields:
        values.setdefault(header.name.upper(), []).append(header.value)
    lines = (f"{name}: {', '.join(parts)}\r\n" for name, parts in values.items())
    return "".join(lines).encode("latin-1")
