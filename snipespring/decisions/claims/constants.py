"""Define the time limits and size limits of claims.

A claim is remembered for CLAIM_WINDOW_S after its end. For TAKEOVER_WAIT_S a new
owner of keys permits no request whose key it has no record of, since a claim that an
earlier owner granted may still count.
"""

__all__ = [
    "CLAIM_WINDOW_S",
    "GRANT_MARGIN_S",
    "MAX_CLAIMS",
    "MAX_CLAIMS_PER_ORGANISATION",
    "MAX_GRANT_S",
    "MAX_KEY_CHARS",
    "MAX_RECORDED_REPLY_BYTES",
    "MAX_REPLY_MEMORY_BYTES",
    "TAKEOVER_WAIT_S",
]

CLAIM_WINDOW_S = 600.0
MAX_GRANT_S = 120.0
GRANT_MARGIN_S = 2.0
TAKEOVER_WAIT_S = CLAIM_WINDOW_S + MAX_GRANT_S + GRANT_MARGIN_S
MAX_CLAIMS = 65536
MAX_CLAIMS_PER_ORGANISATION = 32768
MAX_KEY_CHARS = 255
MAX_RECORDED_REPLY_BYTES = 16 * 1024
MAX_REPLY_MEMORY_BYTES = 32 * 1024 * 1024
