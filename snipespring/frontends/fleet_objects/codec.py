"""Encode the fleet's objects in the platform's store as CBOR."""

from attrs import frozen
from cbor2 import dumps
from immutables import Map

from ...decisions.membership import restore_roster
from ...decisions.rules import RootRecord
from ...records import Host, Roster, RosterChange
from ..cbor import DECODING_ERRORS, decode_cbor, make_strict_converter

__all__ = [
    "CONFIGURATION_OBJECT",
    "ROSTER_OBJECT",
    "decode_root",
    "decode_roster",
    "encode_root",
    "encode_roster",
    "make_segment_name",
]

CONFIGURATION_OBJECT = "snipespring-configuration/main"
ROSTER_OBJECT = "snipespring-roster/main"

_converter = make_strict_converter()


@frozen(kw_only=True)
class _RootContent:
    """Represent the stored root, which lists the segments of the rules' text.

    `digests` are those of the segments, `text_digest` that of the whole text. The
    root's version is not part of the content: it is the version of the object.
    """

    digests: list[str]
    text_digest: str


@frozen(kw_only=True)
class _RosterContent:
    """Represent the stored roster: base hosts, and the changes applied to them.

    The roster's version is not part of the content: it is the version of the object.
    """

    hosts: list[Host]
    changes: list[RosterChange]


def encode_roster(roster: Roster) -> bytes:
    """Return the roster as CBOR, with its hosts sorted by id."""
    base_hosts = roster.base_hosts if roster.changes else roster.hosts
    hosts = [host for _, host in sorted(base_hosts.items())]
    content = _RosterContent(hosts=hosts, changes=list(roster.changes))
    return dumps(_converter.unstructure(content))


def decode_roster(content: bytes, *, version: int) -> Roster | None:
    """Return the decoded roster, or None for malformed content."""
    try:
        decoded = _converter.structure(decode_cbor(content), _RosterContent)
    except DECODING_ERRORS:
        return None
    base_hosts = Map({host.host_id: host for host in decoded.hosts})
    if not decoded.changes:
        return Roster(version=version, hosts=base_hosts)
    return restore_roster(base_hosts, tuple(decoded.changes), version=version)


def make_segment_name(digest: str) -> str:
    """Return the name of the object that stores a segment of the rules' text."""
    return f"snipespring-segments/{digest}"


def encode_root(root: RootRecord) -> bytes:
    """Return the root, which lists the rules' segments, as CBOR."""
    content = _RootContent(digests=list(root.digests), text_digest=root.text_digest)
    return dumps(_converter.unstructure(content))


def decode_root(content: bytes, *, version: int) -> RootRecord | None:
    """Return the decoded root, or None for malformed content."""
    try:
        decoded = _converter.structure(decode_cbor(content), _RootContent)
    except DECODING_ERRORS:
        return None
    return RootRecord(
        version=version, digests=tuple(decoded.digests), text_digest=decoded.text_digest
    )
