"""Receive the bodies of requests in chunks, in pieces of any size."""

import re
from typing import Any

from attrs import define, field, frozen
from waitress.utilities import BadRequest, Error

from .http_bodies import MAX_CHUNK_LINE_BYTES, MAX_TRAILER_BYTES, MAX_TRAILER_FIELDS
from .http_fields import CRLF, TOKEN

__all__ = ["ChunkedReceiver"]

QUOTED_STRING = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
)
EXTENSION = rb";%b(?:=(?:%b|%b))?" % (TOKEN.pattern, TOKEN.pattern, QUOTED_STRING)
# Each part begins with a character that cannot continue the part before it.
CHUNK_HEAD = re.compile(rb"([0-9A-Fa-f]{1,16})(?:%b)*\r\n" % EXTENSION)


@frozen(kw_only=True)
class _ChunkHead:
    """Expect the size of a chunk."""


@frozen(kw_only=True)
class _ChunkContent:
    """Expect the rest of a chunk's content."""

    left_bytes: int


@frozen(kw_only=True)
class _ChunkEnd:
    """Expect the line end behind a chunk's content."""


@frozen(kw_only=True)
class _Trailer:
    """Expect fields, and the empty line behind them."""

    left_bytes: int = MAX_TRAILER_BYTES
    left_fields: int = MAX_TRAILER_FIELDS


_Part = _ChunkHead | _ChunkContent | _ChunkEnd | _Trailer


@define(kw_only=True, eq=False)
class ChunkedReceiver:
    """Append the content of chunks to a buffer of the HTTP library."""

    buf: Any
    completed: bool = field(default=False, init=False)
    error: Error | None = field(default=None, init=False)
    _part: _Part = field(factory=_ChunkHead, init=False)
    _line: bytearray = field(factory=bytearray, init=False)

    def __len__(self) -> int:
        """Return the number of bytes of content."""
        return len(self.buf)

    def received(self, data: bytes) -> int:
        """Receive data and return how many bytes of it belong to the body."""
        position = 0
        while position < len(data) and not self.completed:
            match self._part:
                case _ChunkContent(left_bytes=left_bytes):
                    piece = data[position : position + left_bytes]
                    self.buf.append(piece)
                    position += len(piece)
                    left_bytes -= len(piece)
                    self._part = (
                        _ChunkContent(left_bytes=left_bytes)
                        if left_bytes
                        else _ChunkEnd()
                    )
                case part:
                    end = data.find(b"\n", position) + 1 or len(data)
                    self._line += data[position:end]
                    position = end
                    self._read_line(part)
            if self.error is not None:
                return len(data)
        return position

    def getfile(self) -> Any:
        """Return the content as a file."""
        return self.buf.getfile()

    def getbuf(self) -> Any:
        """Return the buffer of the content."""
        return self.buf

    def _read_line(self, part: _ChunkHead | _ChunkEnd | _Trailer) -> None:
        """Read the line that has been received, if it is complete."""
        line = self._line
        if len(line) > _find_max_bytes(part):
            self.error = BadRequest("a line of the framing is too long")
            return
        if not line.endswith(b"\n"):
            return
        self._line = bytearray()
        match part:
            case _ChunkHead():
                self._read_chunk_head(bytes(line))
            case _ChunkEnd() if line == CRLF:
                self._part = _ChunkHead()
            case _ChunkEnd():
                self.error = BadRequest("a chunk is longer than it states")
            case _Trailer() if line == CRLF:
                self.completed = True
            case _Trailer(left_bytes=left_bytes, left_fields=left_fields):
                if left_fields == 0:
                    self.error = BadRequest("the trailer has too many fields")
                self._part = _Trailer(
                    left_bytes=left_bytes - len(line), left_fields=left_fields - 1
                )

    def _read_chunk_head(self, line: bytes) -> None:
        found = CHUNK_HEAD.fullmatch(line)
        if found is None:
            self.error = BadRequest("not a chunk size with extensions")
            return
        size_bytes = int(found[1], 16)
        self._part = _ChunkContent(left_bytes=size_bytes) if size_bytes else _Trailer()


def _find_max_bytes(part: _ChunkHead | _ChunkEnd | _Trailer) -> int:
    match part:
        case _ChunkHead():
            return MAX_CHUNK_LINE_BYTES
        case _ChunkEnd():
            return len(CRLF)
        case _Trailer(left_bytes=left_bytes):
            return left_bytes
