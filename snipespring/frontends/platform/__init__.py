"""Call the platform's object API."""

from .client import HttpPlatform, Platform
from .codec import (
    CONFIGURATION_OBJECT,
    ROSTER_OBJECT,
    decode_roster,
    encode_roster,
)

__all__ = [
    "CONFIGURATION_OBJECT",
    "HttpPlatform",
    "Platform",
    "ROSTER_OBJECT",
    "decode_roster",
    "encode_roster",
]
