"""Parse the header fields of HTTP messages in linear time."""

import re

from ..records import Header

__all__ = ["CRLF", "TOKEN", "parse_field"]

CRLF = b"\r\n"
BLANKS = b" \t"
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")


def parse_field(line: bytes) -> Header | None:
    """Return the field of a line without its end, None if the line is invalid.

    Each expression is one class of characters. Adjacent parts that match the same
    characters would try every division of them before they reject a line.
    """
    name, colon, value = line.partition(b":")
    if not (colon and TOKEN.fullmatch(name) and VALUE.fullmatch(value)):
        return None
    return Header(
        name=name.decode("ascii"), value=value.strip(BLANKS).decode("latin-1")
    )
