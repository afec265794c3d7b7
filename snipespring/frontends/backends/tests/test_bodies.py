"""Compare the reader of bodies with a plain one on damaged bytes."""

import re
from http.client import HTTPException
from io import BufferedReader, BytesIO
from typing import Any

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
from snipespring.frontends.http_bodies import UnlimitedBodies

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


def read(content: bytes, framing: Framing) -> bytes | None:
    reader: Any = BufferedReader(BytesIO(content))
    body = BodyBuffer(budget=UnlimitedBodies())
    try:
        read_body(reader, framing, body, max_bytes=MAX_BYTES)
    except HTTPException:
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
)
@settings(max_examples=400)
def test_chunked_bodies_are_read_like_by_a_plain_reader(
    chunks: list[bytes],
    trailer: list[bytes],
    damages: list[tuple[int, int, bytes]],
    cut: int | None,
) -> None:
    content = encode_chunks(chunks, trailer)
    for at, removed, inserted in damages:
        content = content[:at] + inserted + content[at + removed :]
    content = content[:cut]
    assert read(content, ChunkedBody()) == decode_chunks(content)


@given(content=st.binary(max_size=40), size=st.integers(0, 40))
def test_sized_bodies_are_whole_or_nothing(content: bytes, size: int) -> None:
    whole = content[:size] if len(content) >= size else None
    assert read(content, SizedBody(size_bytes=size)) == whole
    assert read(content, CloseDelimitedBody()) == content
