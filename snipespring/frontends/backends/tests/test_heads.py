"""Compare the reader of heads with a plain one on damaged and joined answers."""

from io import BufferedReader, BytesIO
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipespring.frontends.backends.heads import (
    MAX_FIELDS,
    AnswerHead,
    MalformedAnswerError,
    encode_request_head,
    read_head,
)
from snipespring.frontends.backends.transport import MAX_HEAD_BYTES
from snipespring.records import Header
from standins.harness import run_limited

NAME_CHARS = "!#$%&'*+-.^_`|~0123456789" + "abcdefghijklmnopqrstuvwxyz"
VALUE_CHARS = "\t" + "".join(map(chr, [*range(0x20, 0x7F), *range(0x80, 0x100)]))


def read(content: bytes) -> AnswerHead | None:
    source: Any = BytesIO(content)
    try:
        return read_head(BufferedReader(source))
    except MalformedAnswerError:
        return None


def read_plainly(content: bytes) -> AnswerHead | None:
    """Return the head, None if any line of it is invalid."""
    head, end, _ = content.decode("latin-1").partition("\r\n\r\n")
    first, *lines = head.split("\r\n")
    later = "\n".join([first[1:], *lines])
    starts = (later[index : index + 12] for index in range(len(later)))
    if not end or any(is_status_start(start) for start in starts):
        return None
    version, _, rest = first.partition(" ")
    status, space, reason = rest.partition(" ")
    has_status = len(status) == 3 and all(char in "0123456789" for char in status)
    if version not in ("HTTP/1.0", "HTTP/1.1") or not has_status:
        return None
    if status[0] not in "12345":
        return None
    if set(reason) - set(VALUE_CHARS):
        return None
    headers = []
    for line in lines:
        name, colon, value = line.partition(":")
        if not name or not colon or set(name.lower()) - set(NAME_CHARS):
            return None
        if not name.isascii() or set(value) - set(VALUE_CHARS):
            return None
        headers.append(Header(name=name, value=value.strip(" \t")))
    return AnswerHead(
        status=int(status), minor_version=int(version[-1]), headers=tuple(headers)
    )


def is_status_start(text: str) -> bool:
    """Return whether text is like `HTTP/1.1 200`."""
    figures = text[5:6] + text[7:8] + text[9:12]
    is_number = len(figures) == 5 and all(char in "0123456789" for char in figures)
    return text.startswith("HTTP/") and text[6:9:2] == ". " and is_number


names = st.sampled_from(["Request-Id", "Not-Executed", "Content-Length", "Seal", "A"])
values = st.sampled_from(["1", "caller-1", "caller-2", "", "a b", "HTTP/1.1 x", "\xe9"])
fields = st.lists(st.tuples(names, values), max_size=5)
statuses = st.sampled_from([100, 200, 204, 421, 429, 500, 503])


@st.composite
def answers(draw: st.DrawFn) -> bytes:
    lines = [f"HTTP/1.1 {draw(statuses)} No"]
    lines += [f"{name}: {value}" for name, value in draw(fields)]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


pieces = st.binary(max_size=4) | st.sampled_from(
    [b"\r", b"\n", b"\r\n", b" ", b":", b"HTTP/1.1 200 OK", b"HTTP/1.1 ", b"\r\n A: b"]
)
damages = st.lists(st.tuples(st.integers(0, 90), st.integers(0, 9), pieces), max_size=3)


@given(answer=answers(), damages=damages)
@settings(max_examples=600)
def test_heads_are_read_like_by_a_plain_reader(
    answer: bytes, damages: list[tuple[int, int, bytes]]
) -> None:
    for at, removed, inserted in damages:
        answer = answer[:at] + inserted + answer[at + removed :]
    assert read(answer) == read_plainly(answer)


@given(
    parts=st.lists(st.tuples(answers(), st.integers(0, 120)), max_size=3),
    last=answers(),
)
@settings(max_examples=600)
def test_a_head_holds_fields_of_one_answer_only(
    parts: list[tuple[bytes, int]], last: bytes
) -> None:
    # Guards against a promise put together from the heads of two answers (REFUSED).
    joined = b"".join(answer[:size] for answer, size in parts) + last
    whole = [answer for answer, _ in parts] + [last]
    found = read(joined)
    if found is not None:
        assert found in [read(answer) for answer in whole]


def test_a_head_that_is_cut_anywhere_is_none() -> None:
    whole = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n\r\n"
    assert read(whole) is not None
    assert all(read(whole[:size]) is None for size in range(len(whole)))


def test_a_head_has_a_limited_number_of_fields() -> None:
    line = b"A: b\r\n"
    most = read(b"HTTP/1.1 200 OK\r\n" + line * MAX_FIELDS + b"\r\n")
    assert most is not None
    assert len(most.headers) == MAX_FIELDS
    assert read(b"HTTP/1.1 200 OK\r\n" + line * (MAX_FIELDS + 1) + b"\r\n") is None


@pytest.mark.parametrize(
    ("lines", "stays_open"),
    [
        (["HTTP/1.1 200 OK"], True),
        (["HTTP/1.1 200 OK", "Connection: keep-alive"], True),
        (["HTTP/1.1 200 OK", "Connection: a, Close"], False),
        (["HTTP/1.1 200 OK", "Connection: a", "connection: close"], False),
        (["HTTP/1.0 200 OK", "Connection: keep-alive"], False),
    ],
)
def test_a_connection_stays_open_unless_the_server_says_otherwise(
    lines: list[str], stays_open: bool
) -> None:
    head = read("\r\n".join([*lines, "", ""]).encode())
    assert head is not None
    assert head.stays_open is stays_open


@pytest.mark.parametrize(
    ("method", "target", "header"),
    [
        ("GET\r\n", "/", ("A", "b")),
        ("GET", "/ HTTP/1.1\r\nA: b", ("A", "b")),
        ("GET", "", ("A", "b")),
        ("GET", "/\xe9", ("A", "b")),
        ("GET", "/", ("A\r\nB", "b")),
        ("GET", "/", ("A:", "b")),
        ("GET", "/", ("", "b")),
        ("GET", "/", ("A", "b\r\nC: d")),
        ("GET", "/", ("A", "b\n c")),
        ("GET", "/", ("A", "\u20ac")),
    ],
)
def test_a_request_that_would_be_another_one_is_not_encoded(
    method: str, target: str, header: tuple[str, str]
) -> None:
    name, value = header
    with pytest.raises(ValueError):
        encode_request_head(method, target, [Header(name=name, value=value)])


def test_a_request_is_encoded_as_given() -> None:
    headers = [Header(name="A", value="b \xe9"), Header(name="a", value="")]
    assert encode_request_head("GET", "/a%2Fb?c", headers) == (
        b"GET /a%2Fb?c HTTP/1.1\r\nA: b \xe9\r\na: \r\n\r\n"
    )


COUNT_VALUE_BYTES = """
import sys
from snipespring.frontends.backends.heads import MalformedAnswerError, read_head
try:
    print(sum(len(field.value) for field in read_head(sys.stdin.buffer).headers))
except MalformedAnswerError:
    print("malformed")
"""
READING_LIMIT_S = 20.0
LONG = MAX_HEAD_BYTES - 100


@pytest.mark.parametrize(
    ("field", "result"),
    [
        (b"A: " + b" " * LONG + b"\x00", "malformed"),
        (b"A:" + b"\t " * (LONG // 2) + b"\x7f", "malformed"),
        (b"A: b" + b" " * LONG + b"\x00", "malformed"),
        (b"A: " + b" b" * (LONG // 2) + b"\x00", "malformed"),
        (b"A" * LONG, "malformed"),
        (b"A: b" + b" " * LONG + b"b", str(LONG + 2)),
        (b"A: b" + b" " * LONG, "1"),
    ],
)
def test_a_head_of_any_form_is_read_in_linear_time(field: bytes, result: str) -> None:
    # Guards against a field that stops the whole process while it is parsed (CONFIG).
    head = b"HTTP/1.1 200 OK\r\n" + field + b"\r\n\r\n"
    found = run_limited(COUNT_VALUE_BYTES, head, limit_s=READING_LIMIT_S)
    assert found == result
