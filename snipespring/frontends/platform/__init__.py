"""Call the platform's object API."""

from .client import HttpPlatform, Platform
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
    "HttpPlatform",
    "Platform",
    "ROSTER_OBJECT",
    "decode_root",
    "decode_roster",
    "encode_root",
    "encode_roster",
    "segment_object",
]
