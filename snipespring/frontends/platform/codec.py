"""Encode the fleet's objects in the platform as CBOR."""

import cattrs
from attrs import frozen
from cattrs.preconf.cbor2 import make_converter
from cbor2 import CBORDecodeError, dumps, loads
from immutables import Map

from ...decisions.membership import restore_roster
from ...records import Host, Roster, RosterChange

__all__ = [
    "CONFIGURATION_OBJECT",
    "ROSTER_OBJECT",
    "decode_roster",
    "encode_roster",
]

CONFIGURATION_OBJECT = "snipespring/configuration"
ROSTER_OBJECT = "snipespring/roster"

_converter = make_converter(forbid_extra_keys=True)


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
    except (CBORDecodeError, cattrs.BaseValidationError, TypeError, ValueError):
        return None
    base_hosts = Map({host.host_id: host for host in held.hosts})
    if not held.changes:
        return Roster(version=version, hosts=base_hosts)
    return restore_roster(base_hosts, tuple(held.changes), version=version)
