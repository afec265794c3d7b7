"""Compare the parser of requests with the HTTP library's on damaged requests."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser

from snipespring.frontends.http_bodies import UnlimitedBodies
from snipespring.frontends.http_requests import RequestParser
from standins.harness import run_limited

CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


def make_parser(kind: type[Any]) -> Any:
    adj = Adjustments(max_request_header_size=4096)
    adj.body_budget = UnlimitedBodies()
    return kind(adj)


def feed(parser: Any, piece: bytes) -> None:
    """Pass a piece on in parts, as a head and a body are received separately."""
    while piece and not parser.completed:
        piece = piece[parser.received(piece) :]


def parse(kind: type[Any], pieces: list[bytes]) -> dict[str, Any] | None:
    """Return what a parser reads from a request, None if it refuses the request."""
    parser = make_parser(kind)
    try:
        for piece in pieces:
            feed(parser, piece)
    except ValueError:  # raised by the library for some targets
        return None
    if parser.error is not None:
        return None
    found = {"completed": parser.completed, "empty": parser.empty}
    if parser.headers_finished and not parser.empty:
        found["headers"] = {
            name: value.rstrip(" ") for name, value in parser.headers.items()
        }
        found["target"] = parser.command, parser.request_uri, parser.version
        found["body"] = parser.get_body_stream().read()
    return found


def split(content: bytes, sizes: list[int]) -> list[bytes]:
    pieces = []
    for size in sizes:
        pieces.append(content[:size])
        content = content[size:]
    return [piece for piece in [*pieces, content] if piece]


names = st.sampled_from(["Host", "A", "a", "A-B", "A_B", "Expect", "Connection"])
values = st.sampled_from(
    ["", "1", " a  b\t", "\xe9", "close", "100-continue", "x\r\n y"]
)
fields = st.lists(st.tuples(names, values), max_size=4)
lines = st.sampled_from(
    ["GET / HTTP/1.1", "POST /a?b#c HTTP/1.0", "GET http://a:80/b HTTP/1.1", "GET /"]
)
bodies = st.sampled_from(
    [
        ("", ""),
        ("Content-Length: 3\r\n", "abc"),
        ("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
        (
            "Transfer-Encoding: chunked\r\n",
            '2;a="\\"b";c=d;e\r\nab\r\n1\r\nc\r\n00\r\nT: u\r\n\r\n',
        ),
    ]
)
pieces = st.binary(max_size=3) | st.sampled_from(
    [b"\r", b"\n", b"\r\n", b" ", b":", b";", b'"', b"\\", b"\x00", b"0", b"\r\n "]
)
damages = st.lists(
    st.tuples(st.integers(0, 150), st.integers(0, 4), pieces), max_size=2
)


@st.composite
def requests(draw: st.DrawFn) -> bytes:
    framing, body = draw(bodies)
    block = "".join(f"{name}: {value}\r\n" for name, value in draw(fields))
    return f"{draw(lines)}\r\n{block}{framing}\r\n{body}".encode("latin-1")


@given(
    request=requests(),
    damages=damages,
    sizes=st.lists(st.integers(1, 40), max_size=6),
)
@settings(max_examples=1500)
def test_requests_are_parsed_like_by_the_library_or_refused(
    request: bytes, damages: list[tuple[int, int, bytes]], sizes: list[int]
) -> None:
    for at, removed, inserted in damages:
        request = request[:at] + inserted + request[at + removed :]
    found = parse(RequestParser, split(request, sizes))
    expected = parse(HTTPRequestParser, split(request, sizes))
    if found is None and expected is not None:
        # Stricter: chunks in HTTP/1.0, and lines between chunks.
        assert b"Transfer-Encoding" in request
        assert damages or b"HTTP/1.0" in request
    else:
        assert found == expected


COUNT_FIELD_BYTES = """
import sys
from waitress.adjustments import Adjustments
from snipespring.frontends.http_bodies import UnlimitedBodies
from snipespring.frontends.http_requests import RequestParser
adj = Adjustments(max_request_header_size=1 << 20, max_request_body_size=1 << 20)
adj.body_budget = UnlimitedBodies()
parser = RequestParser(adj)
data = sys.stdin.buffer.read()
for start in range(0, len(data), PIECE_BYTES):
    piece = data[start : start + PIECE_BYTES]
    while piece and not parser.completed:
        piece = piece[parser.received(piece) :]
error = parser.error
print(error.to_response()[0][:3] if error else sum(map(len, parser.headers.values())))
"""
PARSING_LIMIT_S = 30.0
LONG = 600_000
START = b"GET / HTTP/1.1\r\n"
END = b"\r\n\r\n"


@pytest.mark.parametrize(
    ("content", "result"),
    [
        (START + b"A: " + b" " * LONG + b"\x00" + END, "400"),
        (START + b"A: b" + b" " * LONG + b"\x00" + END, "400"),
        (START + b"A: " + b"b " * (LONG // 2) + b"\x00" + END, "400"),
        (START + b"A: " + b" " * LONG + b"b" + END, "1"),
        (START + b"A: b" + b" " * LONG + b"b" + END, str(LONG + 2)),
        (START + b"A: b" + b"\r\n " * (LONG // 3) + b"b" + END, str(LONG // 3 + 2)),
        (START + b"A: b\r\n" * (LONG // 6) + END, str(LONG // 6 * 3 - 2)),
        (b"GET http://" + b"a" * LONG + b" HTTP/1.1x" + END, "400"),
        (b"GET " + b"a:" * (LONG // 2) + b"\x00 HTTP/1.1 " + END, "0"),
        (b"GET http://[ HTTP/1.1" + END, "400"),
        (START + b"Content-Length: " + b"1" * LONG + END, "400"),
        (b" " * LONG + b"\x00" + END, "400"),
        (START + b"A" * (1 << 20), "431"),
        (CHUNKED + b"1" + b";a" * 2000 + b'="' + b"\\" * 60 + b"\r\n", "400"),
        (CHUNKED + b'1;a="' + b"\\" * 4001 + b"\x00\r\n", "400"),
        (CHUNKED + b"1;" + b"a" * LONG, "400"),
        (CHUNKED + b"0\r\n" + b"A: b\r\n" * LONG, "400"),
        (CHUNKED + b"1\r\nabcd", "400"),
    ],
)
def test_a_request_of_any_form_is_parsed_in_linear_time(
    content: bytes, result: str
) -> None:
    # Guards against a head or a chunk that stops the whole process (CONFIG).
    code = COUNT_FIELD_BYTES.replace("PIECE_BYTES", "8192")
    found = run_limited(code, content, limit_s=PARSING_LIMIT_S)
    assert found == result


def test_a_head_in_small_pieces_is_parsed_in_linear_time() -> None:
    # Guards against a reader that searches all of the head again for each piece.
    content = START + b"A: " + b"b" * LONG + END
    code = COUNT_FIELD_BYTES.replace("PIECE_BYTES", "1")
    assert run_limited(code, content, limit_s=PARSING_LIMIT_S) == str(LONG)
