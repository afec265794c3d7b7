from .codec import (
    CONFIGURATION_OBJECT,
    ROSTER_OBJECT,
    decode_root,
    decode_roster,
    encode_root,
    encode_roster,
    make_segment_name,
)
from .store import FleetObjectStore

__all__ = [
    "CONFIGURATION_OBJECT",
    "FleetObjectStore",
    "ROSTER_OBJECT",
    "decode_root",
    "decode_roster",
    "encode_root",
    "encode_roster",
    "make_segment_name",
]
