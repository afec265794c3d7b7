"""Encode the fleet's objects in the platform as CBOR."""

import cattrs
from cattrs.preconf.cbor2 import make_converter
from cbor2 import CBORDecodeError, dumps, loads
from immutables import Map

from ...records import Host, Roster

__all__ = [
    "CONFIGURATION_OBJECT",
    "ROSTER_OBJECT",
    "decode_roster",
    "encode_roster",
]

CONFIGURATION_OBJECT = "snipespring/configuration"
ROSTER_OBJECT = "snipespring/roster"

_converter = make_converter(forbid_extra_keys=True)


def encode_roster(roster: Roster) -> bytes:
    """Return the roster's hosts as CBOR, in the order of their ids."""
    hosts = [host for _, host in sorted(roster.hosts.items())]
    return dumps(_converter.unstructure(hosts))


def decode_roster(content: bytes, *, version: int) -> Roster | None:
    """Return the roster in the bytes, or None if they hold none."""
    try:
        hosts = _converter.structure(loads(content), list[Host])
    except (CBORDecodeError, cattrs.BaseValidationError, TypeError, ValueError):
        return None
    return Roster(version=version, hosts=Map({host.host_id: host for host in hosts}))
