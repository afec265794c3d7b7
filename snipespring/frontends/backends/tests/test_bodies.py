"""Compare the reader of bodies with a plain one on damaged bytes."""

import re
from collections.abc import Iterable
from io import BufferedReader, RawIOBase
from itertools import chain, cycle, islice, repeat
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipespring.frontends.backends.bodies import (
    BodyBuffer,
    ChunkedBody,
    CloseDelimitedBody,
    Framing,
    SizedBody,
    read_body,
)
from snipespring.frontends.backends.heads import MalformedAnswerError
from snipespring.frontends.http_bodies import FREE_FRAMING_BYTES, UnlimitedBodies

MAX_BYTES = 1 << 20
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(;[^\r\n]*)?\r\n")


def encode_chunks(chunks: list[bytes], trailer: list[bytes]) -> bytes:
    parts = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks if chunk]
    lines = [b"%s: x\r\n" % name for name in trailer]
    return b"".join([*parts, b"0\r\n", *lines, b"\r\n"])


def decode_chunks(content: bytes) -> bytes | None:
    """Return the body, None if it is damaged or cut."""
    body = b""
    while True:
        found = CHUNK_LINE.match(content)
        if found is None:
            return None
        size, content = int(found[1], 16), content[found.end() :]
        if size == 0:
            break
        if content[size : size + 2] != b"\r\n":
            return None
        body, content = body + content[:size], content[size + 2 :]
    while True:
        line, end, content = content.partition(b"\n")
        if not end:
            return None
        if line == b"\r":
            return body


class Pieces(RawIOBase):
    """Provide bytes in pieces of the given sizes, in turn, and count the reads."""

    def __init__(self, content: Iterable[bytes], sizes: list[int]) -> None:
        super().__init__()
        self._content = chain.from_iterable(content)
        self._sizes = cycle(sizes)
        self.reads = 0
        self.size_bytes = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        piece = bytes(islice(self._content, min(next(self._sizes), len(buffer))))
        buffer[: len(piece)] = piece
        self.reads += 1
        self.size_bytes += len(piece)
        return len(piece)


def read(
    content: bytes, framing: Framing, sizes: list[int] | None = None
) -> bytes | None:
    reader: Any = BufferedReader(Pieces([content], sizes or [MAX_BYTES]))
    body = BodyBuffer(budget=UnlimitedBodies())
    try:
        read_body(reader, framing, body, max_bytes=MAX_BYTES)
    except MalformedAnswerError:
        return None
    return bytes(body.content)


pieces = st.binary(max_size=9) | st.sampled_from(
    [b"\r\n", b"0\r\n", b"0\r\n\r\n", b";a=b", b"+1", b"0x2", b" ", b"\n", b"1\r\nx"]
)
damages = st.lists(st.tuples(st.integers(0, 60), st.integers(0, 9), pieces), max_size=3)


@given(
    chunks=st.lists(pieces, max_size=4),
    trailer=st.lists(st.sampled_from([b"A", b"Bc"]), max_size=2),
    damages=damages,
    cut=st.none() | st.integers(0, 60),
    sizes=st.lists(st.integers(1, 9), min_size=1, max_size=4),
)
@settings(max_examples=400)
def test_chunked_bodies_are_read_like_by_a_plain_reader(
    chunks: list[bytes],
    trailer: list[bytes],
    damages: list[tuple[int, int, bytes]],
    cut: int | None,
    sizes: list[int],
) -> None:
    content = encode_chunks(chunks, trailer)
    for at, removed, inserted in damages:
        content = content[:at] + inserted + content[at + removed :]
    content = content[:cut]
    expected = decode_chunks(content)
    assert read(content, ChunkedBody()) == expected
    assert read(content, ChunkedBody(), sizes) == expected


class CountingReader(BufferedReader):
    """Count the calls that read lines or blocks."""

    calls = 0

    def read(self, size: int | None = -1, /) -> bytes:
        self.calls += 1
        return super().read(size)

    def readline(self, size: int | None = -1, /) -> bytes:
        self.calls += 1
        return super().readline(size)


def test_small_chunks_are_read_in_blocks() -> None:
    # Guards against work in proportion to the number of chunks, which kept a host from
    # answering while the servers of one service sent chunks of one byte (CONFIG).
    chunks = [b"x"] * 5000
    reader = CountingReader(Pieces([encode_chunks(chunks, [])], [MAX_BYTES]))
    body = BodyBuffer(budget=UnlimitedBodies())
    read_body(reader, ChunkedBody(), body, max_bytes=MAX_BYTES)
    assert body.content == b"x" * len(chunks)
    assert reader.calls < len(chunks) / 100


@pytest.mark.parametrize("chunk", [b"x", b"x" * 16])
def test_chunks_without_end_that_are_mostly_framing_are_not_read_on(
    chunk: bytes,
) -> None:
    raw = Pieces(repeat(b"%x;a=b\r\n%s\r\n" % (len(chunk), chunk)), [4096])
    body = BodyBuffer(budget=UnlimitedBodies())
    with pytest.raises(MalformedAnswerError, match="bytes of framing"):
        read_body(BufferedReader(raw), ChunkedBody(), body, max_bytes=MAX_BYTES)
    assert raw.size_bytes < 4 * FREE_FRAMING_BYTES


def test_chunks_of_usual_sizes_are_read_up_to_the_largest_body() -> None:
    chunks = [b"x" * 128] * 8000
    whole = b"".join(chunks)
    assert read(encode_chunks(chunks, [b"A"]), ChunkedBody()) == whole


@given(content=st.binary(max_size=40), size=st.integers(0, 40))
def test_sized_bodies_are_whole_or_nothing(content: bytes, size: int) -> None:
    whole = content[:size] if len(content) >= size else None
    assert read(content, SizedBody(size_bytes=size)) == whole
    assert read(content, CloseDelimitedBody()) == content
