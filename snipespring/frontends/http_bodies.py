"""Read requests: fields as received, bodies within a bound on bytes held."""

from typing import Any, Protocol

from waitress.parser import HTTPRequestParser, ParsingError, get_header_lines
from waitress.utilities import Error

from ..records import Header

__all__ = ["BodyBudget", "BudgetedParser", "RawFieldsParser", "UnlimitedBodies"]

RETRY_AFTER_S = "1"


class BodyBudget(Protocol):
    """Count the bytes of bodies in memory."""

    def hold(self, size_bytes: int) -> bool:
        """Count more bytes; return False where the bound forbids it."""

    def release(self, size_bytes: int) -> None:
        """Count bytes that are no longer held."""


class UnlimitedBodies:
    """Hold any body."""

    def hold(self, size_bytes: int) -> bool:
        """Permit more bytes."""
        return True

    def release(self, size_bytes: int) -> None:
        """Ignore bytes that are no longer held."""


class _BodyBudgetExceededError(Error):  # type: ignore[misc]
    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident: str | None = None) -> Any:
        status, headers, body = super().to_response(ident)
        refusal = [("Snipespring-Outcome", "not-run"), ("Retry-After", RETRY_AFTER_S)]
        return status, [*headers, *refusal], body


class BudgetedParser(HTTPRequestParser):  # type: ignore[misc]
    """Refuse a request when the bodies held by the server reach the bound."""

    reserved_bytes = 0
    error: Any = None

    def received(self, data: bytes) -> int:
        """Parse data and return how many bytes of it belong to this request."""
        consumed: int = super().received(data)
        grown = self.body_bytes_received - self.reserved_bytes
        if grown <= 0 or self.error:
            return consumed
        if self.adj.bodies.hold(grown):
            self.reserved_bytes += grown
        else:
            self.error = _BodyBudgetExceededError(
                "this host holds too many request bodies"
            )
            self.completed = True
        return consumed

    def close(self) -> None:
        """Free the body."""
        super().close()
        held, self.reserved_bytes = self.reserved_bytes, 0
        if held:
            self.adj.bodies.release(held)


class RawFieldsParser(BudgetedParser):
    """Keep every header field with its name and value as they were received."""

    fields: tuple[Header, ...] = ()

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head; raise ParsingError for a malformed one."""
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
