"""Parse names, addresses, methods and the other words of a rule line."""

import re

from ...records import (
    Access,
    Address,
    EjectCarefully,
    EjectionPreference,
    EjectQuickly,
    KeyAccess,
    OpenAccess,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    RunPolicy,
)
from .records import InvalidValue

__all__ = [
    "parse_access",
    "parse_address",
    "parse_digest",
    "parse_ejection",
    "parse_methods",
    "parse_name",
    "parse_prefix",
    "parse_run_policy",
]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_ADDRESS = re.compile(r"([0-9A-Fa-f.:]+):([0-9]{1,5})")
_METHOD = re.compile(r"[A-Z]{1,32}")
_PREFIX = re.compile(r"/|(?:/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+")
_DOT_SEGMENTS = frozenset({".", ".."})
_DIGEST = re.compile(r"sha256:([0-9a-f]{64})")


def parse_name(text: str) -> str | InvalidValue:
    """Parse the name of a service, organisation or failure domain."""
    if _NAME.fullmatch(text) is None:
        return InvalidValue(reason="expected a name of letters, digits, '.', '_', '-'")
    return text


def parse_address(text: str) -> Address | InvalidValue:
    """Parse an IP address and a port without checking their ranges."""
    matched = _ADDRESS.fullmatch(text)
    if matched is None:
        return InvalidValue(reason="expected IP:PORT")
    return Address(ip=matched[1], port=int(matched[2]))


def parse_methods(text: str) -> tuple[str, ...] | InvalidValue:
    """Parse a list of HTTP methods, or `*` for every method; return it sorted."""
    if text == "*":
        return ("*",)
    methods = text.split(",")
    if not all(_METHOD.fullmatch(method) for method in methods):
        return InvalidValue(reason="expected methods such as GET or GET,HEAD or *")
    if len(set(methods)) < len(methods):
        return InvalidValue(reason="a method is listed twice")
    return tuple(sorted(methods))


def parse_prefix(text: str) -> str | InvalidValue:
    """Parse a path prefix made of complete segments."""
    if _PREFIX.fullmatch(text) is None:
        return InvalidValue(reason="expected a path prefix such as /ledger")
    if _DOT_SEGMENTS.intersection(text.split("/")):
        return InvalidValue(reason="a prefix must not have a '.' or '..' segment")
    return text


def parse_access(text: str) -> Access | InvalidValue:
    """Parse who may use a route."""
    match text:
        case "key":
            return KeyAccess()
        case "open":
            return OpenAccess()
        case _:
            return InvalidValue(reason="expected key or open")


def parse_run_policy(text: str) -> RunPolicy | InvalidValue:
    """Parse whether requests of a route may be repeated."""
    match text:
        case "idempotent":
            return RunIdempotent()
        case "once":
            return RunOnce()
        case "upload":
            return RunAsUpload()
        case _:
            return InvalidValue(reason="expected idempotent, once or upload")


def parse_ejection(text: str) -> EjectionPreference | InvalidValue:
    """Parse how readily servers of a service are ejected."""
    match text:
        case "careful":
            return EjectCarefully()
        case "quick":
            return EjectQuickly()
        case _:
            return InvalidValue(reason="expected careful or quick")


def parse_digest(text: str) -> str | InvalidValue:
    """Parse the SHA-256 digest of a key."""
    matched = _DIGEST.fullmatch(text)
    if matched is None:
        return InvalidValue(reason="expected sha256: and 64 lower-case hex digits")
    return matched[1]
