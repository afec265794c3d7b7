"""Read the bodies of backend servers' answers."""

import re
from io import BufferedReader

from attrs import define, field, frozen

from ..http_bodies import (
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
    MAX_TRAILER_FIELDS,
    BodyBudget,
    is_mostly_framing,
)
from ..http_fields import CRLF
from .heads import AnswerHead, MalformedAnswerError

__all__ = [
    "BodyBuffer",
    "ChunkedBody",
    "CloseDelimitedBody",
    "Framing",
    "NoBody",
    "SizedBody",
    "find_framing",
    "read_body",
]

READ_BYTES = 65536
BODILESS_STATUSES = frozenset({204, 304})
# Content up to this size is not counted in the budget for bodies in memory.
UNCOUNTED_BYTES = 65536
RESERVATION_BYTES = 262144
DECIMAL = re.compile(r"[0-9]{1,18}")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")


@frozen(kw_only=True)
class NoBody:
    """Represent an answer that has no body by its status or method."""


@frozen(kw_only=True)
class SizedBody:
    """Represent a body whose size the answer states."""

    size_bytes: int


@frozen(kw_only=True)
class ChunkedBody:
    """Represent a body in chunks, the last of which is empty."""


@frozen(kw_only=True)
class CloseDelimitedBody:
    """Represent a body that ends with the connection."""


Framing = NoBody | SizedBody | ChunkedBody | CloseDelimitedBody


@define(kw_only=True, eq=False)
class BodyBuffer:
    """Collect a body within the budget for bodies in memory."""

    budget: BodyBudget
    content: bytearray = field(factory=bytearray, init=False)
    _reserved_bytes: int = field(default=0, init=False)

    def append(self, piece: bytes) -> None:
        """Append a piece; raise MalformedAnswerError if the budget is exhausted."""
        counted_bytes = len(self.content) + len(piece) - UNCOUNTED_BYTES
        while self._reserved_bytes < counted_bytes:
            if not self.budget.reserve(RESERVATION_BYTES):
                raise MalformedAnswerError(
                    f"this host holds too many bodies to read more than "
                    f"{len(self.content)} bytes of this one"
                )
            self._reserved_bytes += RESERVATION_BYTES
        self.content += piece

    def close(self) -> None:
        """Return the reserved bytes to the budget."""
        if self._reserved_bytes:
            self.budget.release(self._reserved_bytes)
            self._reserved_bytes = 0


def find_framing(head: AnswerHead, method: str) -> Framing:
    """Return how the body ends; raise MalformedAnswerError if that is not certain."""
    if method == "HEAD" or head.status in BODILESS_STATUSES:
        return NoBody()
    lengths = head.list_values("Content-Length")
    codings = head.list_values("Transfer-Encoding")
    match [coding.lower() for coding in codings], lengths:
        case ["chunked"], [] if head.minor_version == 1:
            return ChunkedBody()
        case [], [length] if DECIMAL.fullmatch(length):
            return SizedBody(size_bytes=int(length))
        case [], []:
            return CloseDelimitedBody()
    raise MalformedAnswerError(
        f"the end of the body is uncertain: Transfer-Encoding {codings}, "
        f"Content-Length {lengths}"
    )


def read_body(
    reader: BufferedReader, framing: Framing, body: BodyBuffer, *, max_bytes: int
) -> None:
    """Read a complete body; raise OSError or MalformedAnswerError."""
    match framing:
        case NoBody():
            return
        case SizedBody(size_bytes=size_bytes) if size_bytes > max_bytes:
            raise MalformedAnswerError(
                f"the body has {size_bytes} bytes, {max_bytes} are allowed"
            )
        case SizedBody(size_bytes=size_bytes):
            _read_exactly(reader, size_bytes, body)
        case ChunkedBody():
            _read_chunks(reader, body)
            _skip_trailer(reader)
        case CloseDelimitedBody():
            while piece := reader.read1(READ_BYTES):
                body.append(piece)


def _read_exactly(reader: BufferedReader, size_bytes: int, body: BodyBuffer) -> None:
    left_bytes = size_bytes
    while left_bytes > 0:
        piece = reader.read(min(left_bytes, READ_BYTES))
        if not piece:
            raise MalformedAnswerError(
                f"the body ends {left_bytes} bytes early, {size_bytes} were stated"
            )
        body.append(piece)
        left_bytes -= len(piece)


def _read_chunks(reader: BufferedReader, body: BodyBuffer) -> None:
    """Read the chunks up to the empty one, and its head too."""
    framing_bytes = 0
    while True:
        content, read_bytes = _parse_whole_chunks(reader.peek(1))
        if read_bytes > 0:
            reader.read(read_bytes)
            body.append(content)
            framing_bytes += read_bytes - len(content)
        else:
            head = reader.readline(MAX_CHUNK_LINE_BYTES)
            size_bytes = _parse_chunk_size(head)
            framing_bytes += len(head)
            if size_bytes == 0:
                return
            _read_exactly(reader, size_bytes, body)
            if reader.read(len(CRLF)) != CRLF:
                raise MalformedAnswerError("a chunk is longer than it states")
        if is_mostly_framing(framing_bytes, len(body.content)):
            raise MalformedAnswerError(
                f"the chunks have {framing_bytes} bytes of framing for "
                f"{len(body.content)} bytes of content"
            )


def _parse_whole_chunks(block: bytes) -> tuple[bytes, int]:
    """Return the content of the whole chunks at the start, and their bytes in all."""
    pieces: list[bytes] = []
    position = 0
    while (found := CHUNK_SIZE.match(block, position)) is not None:
        start = found.end()
        end = start + int(found[1], 16)
        is_last, is_cut = end == start, block[end : end + len(CRLF)] != CRLF
        if is_last or is_cut or start - position > MAX_CHUNK_LINE_BYTES:
            break
        pieces.append(block[start:end])
        position = end + len(CRLF)
    return b"".join(pieces), position


def _parse_chunk_size(head: bytes) -> int:
    found = CHUNK_SIZE.fullmatch(head)
    if found is None:
        raise MalformedAnswerError(f"not a chunk size: {head[:40]!r}")
    return int(found[1], 16)


def _skip_trailer(reader: BufferedReader) -> None:
    left_bytes = MAX_TRAILER_BYTES
    for _ in range(MAX_TRAILER_FIELDS + 1):
        line = reader.readline(left_bytes)
        if line == CRLF:
            return
        if not line.endswith(b"\n"):
            break
        left_bytes -= len(line)
    raise MalformedAnswerError("the trailer of the last chunk has no end")
