"""Send attempts to backend servers over pooled HTTP connections."""

from .encoding import (
    BackendEncoding,
    NativeEncoding,
    ServerAnswer,
    find_header,
    parse_count,
    parse_number,
)
from .pool import ConnectionPool
from .transport import HttpTransport, Transport

__all__ = [
    "BackendEncoding",
    "ConnectionPool",
    "HttpTransport",
    "NativeEncoding",
    "ServerAnswer",
    "Transport",
    "find_header",
    "parse_count",
    "parse_number",
]
