"""Parse requests: header fields as received, bodies within a memory budget."""

from typing import Any, Protocol

from waitress.parser import HTTPRequestParser, ParsingError, get_header_lines
from waitress.utilities import BadRequest, Error

from ..records import Header

__all__ = [
    "BodyBudget",
    "BudgetedParser",
    "RawFieldsParser",
    "UnlimitedBodies",
    "is_mostly_framing",
]

RETRY_AFTER_S = "1"
# Chunk heads and line ends cost more to read than content does: beyond the first bytes,
# they are limited to a share of the content.
FREE_FRAMING_BYTES = 65536
MAX_FRAMING_SHARE = 0.125


class BodyBudget(Protocol):
    """Limit the bytes of bodies in memory."""

    def reserve(self, size_bytes: int) -> bool:
        """Reserve more bytes; return False if they would exceed the budget."""

    def add(self, size_bytes: int) -> None:
        """Count bytes that are in memory already, even beyond the budget."""

    def release(self, size_bytes: int) -> None:
        """Return reserved bytes to the budget."""


class UnlimitedBodies:
    """Set no limit on the bytes of bodies in memory."""

    def reserve(self, size_bytes: int) -> bool:
        """Accept any reservation."""
        return True

    def add(self, size_bytes: int) -> None:
        """Do nothing, since no bytes are counted."""

    def release(self, size_bytes: int) -> None:
        """Do nothing, since no reservation is counted."""


def is_mostly_framing(framing_bytes: int, content_bytes: int) -> bool:
    """Return whether a body in chunks has too many bytes that are not content."""
    return framing_bytes > FREE_FRAMING_BYTES + MAX_FRAMING_SHARE * content_bytes


class _BodyBudgetExceededError(Error):  # type: ignore[misc]
    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident: str | None = None) -> Any:
        status, headers, body = super().to_response(ident)
        refusal = [("Snipespring-Outcome", "not-run"), ("Retry-After", RETRY_AFTER_S)]
        return status, [*headers, *refusal], body


class BudgetedParser(HTTPRequestParser):  # type: ignore[misc]
    """Refuse a body that would exceed the memory budget or is mostly framing."""

    reserved_bytes = 0
    error: Any = None

    def received(self, data: bytes) -> int:
        """Parse data and return how many bytes of it belong to this request."""
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

    def close(self) -> None:
        """Close the parser and release the bytes reserved for the body."""
        super().close()
        reserved, self.reserved_bytes = self.reserved_bytes, 0
        if reserved:
            self.adj.body_budget.release(reserved)


class RawFieldsParser(BudgetedParser):
    """Preserve the name and value of every header field as received."""

    fields: tuple[Header, ...] = ()

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request head; raise ParsingError if it is malformed."""
        super().parse_header(header_plus)
        _, _, block = header_plus.partition(b"\r\n")
        self.fields = tuple(_read_field(line) for line in get_header_lines(block))
        if self.version == "1.0" and "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding is not part of HTTP/1.0")


def _read_field(line: bytes) -> Header:
    name, _, value = line.partition(b":")
    return Header(
        name=name.decode("latin-1"), value=value.strip(b" \t").decode("latin-1")
    )
