"""Encode the fleet's objects in the platform as CBOR."""

from attrs import frozen
from cbor2 import dumps, loads
from immutables import Map

from ...decisions.membership import restore_roster
from ...decisions.rules import RootRecord
from ...records import Host, Roster, RosterChange
from ..cbor import DECODING_ERRORS, make_strict_converter

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
    """Hold what the platform keeps of a root; its version is the object's."""

    digests: list[str]
    text_digest: str


@frozen(kw_only=True)
class _RosterContent:
    """Hold what the platform keeps of a roster; its version is the object's."""

    hosts: list[Host]
    changes: list[RosterChange]


def encode_roster(roster: Roster) -> bytes:
    """Return the roster as CBOR, its hosts in the order of their ids."""
    base_hosts = roster.base_hosts if roster.changes else roster.hosts
    hosts = [host for _, host in sorted(base_hosts.items())]
    content = _RosterContent(hosts=hosts, changes=list(roster.changes))
    return dumps(_converter.unstructure(content))


def decode_roster(content: bytes, *, version: int) -> Roster | None:
    """Return the roster in the bytes, or None if they hold none."""
    try:
        held = _converter.structure(loads(content), _RosterContent)
    except DECODING_ERRORS:
        return None
    base_hosts = Map({host.host_id: host for host in held.hosts})
    if not held.changes:
        return Roster(version=version, hosts=base_hosts)
    return restore_roster(base_hosts, tuple(held.changes), version=version)


def make_segment_name(digest: str) -> str:
    """Return the name of the object that holds a segment."""
    return f"snipespring-segments/{digest}"


def encode_root(root: RootRecord) -> bytes:
    """Return the root as CBOR."""
    content = _RootContent(digests=list(root.digests), text_digest=root.text_digest)
    return dumps(_converter.unstructure(content))


def decode_root(content: bytes, *, version: int) -> RootRecord | None:
    """Return the root in the bytes, or None if they hold none."""
    try:
        held = _converter.structure(loads(content), _RootContent)
    except DECODING_ERRORS:
        return None
    return RootRecord(
        version=version, digests=tuple(held.digests), text_digest=held.text_digest
    )
