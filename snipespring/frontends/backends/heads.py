"""Encode the heads of requests and read the heads of backend servers' answers."""

import re
from collections.abc import Iterable
from io import BufferedReader

from attrs import frozen

from ...exception import SnipespringError
from ...records import Header
from ..http_fields import CRLF, parse_field

__all__ = ["AnswerHead", "MalformedAnswerError", "encode_request_head", "read_head"]

METHOD = re.compile(r"[^\x00-\x20\x7f]+")
TARGET = re.compile(r"[\x21-\x7e]+")
SENT_NAME = re.compile(r"[^:\s][^:\r\n]*")
SENT_VALUE = re.compile(r"[^\r\n]*")
# HTTP defines statuses from 100 to 599; no caller could tell what others mean.
STATUS_LINE = re.compile(
    rb"HTTP/1\.(?P<minor>[01]) (?P<status>[1-5][0-9]{2})"
    rb"(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
)
STATUS_LINE_START = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
MAX_FIELDS = 100
MAX_SHOWN_BYTES = 40


class MalformedAnswerError(SnipespringError):
    """Report that an answer is not valid HTTP, ends early or is too long."""


@frozen(kw_only=True)
class AnswerHead:
    """Represent the head of one answer in HTTP/1.`minor_version`."""

    status: int
    minor_version: int
    headers: tuple[Header, ...]

    @property
    def stays_open(self) -> bool:
        """Return whether the server keeps the connection open after the answer."""
        options = ",".join(self.list_values("Connection")).lower().split(",")
        is_closing = "close" in (option.strip() for option in options)
        return self.minor_version == 1 and not is_closing

    def list_values(self, name: str) -> list[str]:
        """Return the values of all fields of that name."""
        wanted = name.lower()
        return [field.value for field in self.headers if field.name.lower() == wanted]


def encode_request_head(method: str, target: str, headers: Iterable[Header]) -> bytes:
    """Return the head of a request; raise ValueError if it is not valid HTTP."""
    if not METHOD.fullmatch(method) or not TARGET.fullmatch(target):
        raise ValueError(f"not a request line: {method!r} {target!r}")
    lines = [f"{method} {target} HTTP/1.1\r\n".encode("ascii")]
    for header in headers:
        name, value = header.name, header.value
        if not SENT_NAME.fullmatch(name) or not SENT_VALUE.fullmatch(value):
            raise ValueError(f"not a header field: {name!r}")
        lines.append(name.encode("ascii") + b": " + value.encode("latin-1") + CRLF)
    return b"".join([*lines, CRLF])


def read_head(reader: BufferedReader) -> AnswerHead:
    """Read the head of one answer; raise OSError or MalformedAnswerError.

    A part of an earlier answer that a server repeats merges with the head behind it.
    No line may therefore contain the start of another status line, and each has to be
    valid by itself.
    """
    line = _read_line(reader)
    found = STATUS_LINE.fullmatch(line)
    if found is None or STATUS_LINE_START.search(line, 1):
        raise MalformedAnswerError(f"not a status line: {line[:MAX_SHOWN_BYTES]!r}")
    return AnswerHead(
        status=int(found["status"]),
        minor_version=int(found["minor"]),
        headers=tuple(_read_fields(reader)),
    )


def _read_fields(reader: BufferedReader) -> Iterable[Header]:
    for _ in range(MAX_FIELDS + 1):
        line = _read_line(reader)
        if line == CRLF:
            return
        header = parse_field(line.removesuffix(CRLF)) if line.endswith(CRLF) else None
        if header is None or STATUS_LINE_START.search(line):
            raise MalformedAnswerError(
                f"not a header field: {line[:MAX_SHOWN_BYTES]!r}"
            )
        yield header
    raise MalformedAnswerError(f"the head has more than {MAX_FIELDS} fields")


def _read_line(reader: BufferedReader) -> bytes:
    line = reader.readline()
    if not line.endswith(b"\n"):
        raise MalformedAnswerError("the connection ended within the head")
    return line
