"""Limit the bytes of bodies in memory and the framing of bodies in chunks."""

from typing import Protocol

__all__ = [
    "MAX_CHUNK_LINE_BYTES",
    "MAX_TRAILER_BYTES",
    "MAX_TRAILER_FIELDS",
    "BodyBudget",
    "UnlimitedBodies",
    "is_mostly_framing",
]

MAX_CHUNK_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 16384
MAX_TRAILER_FIELDS = 100
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
