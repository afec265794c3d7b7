"""Encode the objects that the fleet keeps in the platform's store."""

from .access import Platform
from .codec import (
    CONFIGURATION_OBJECT,
    ROSTER_OBJECT,
    decode_root,
    decode_roster,
    encode_root,
    encode_roster,
    segment_object,
)

__all__ = [
    "CONFIGURATION_OBJECT",
    "Platform",
    "ROSTER_OBJECT",
    "decode_root",
    "decode_roster",
    "encode_root",
    "encode_roster",
    "segment_object",
]
