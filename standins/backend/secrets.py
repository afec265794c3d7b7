"""Find secrets in request texts: plain, percent-encoded or in base64."""

import base64
from collections.abc import Iterable
from urllib.parse import quote, unquote, unquote_plus

__all__ = ["is_any_found", "list_encodings"]

BASE64_GROUP_BYTES = 3
# Numbers of base64 characters (or padding) at the start and the end of an encoded
# secret that also depend on the bytes before and after it. LEADING_CHARS is indexed by
# the secret's offset in its first group of 3 bytes, TRAILING_CHARS by the number of
# bytes in the last group up to the secret's end (0 if they fill it).
LEADING_CHARS = (0, 2, 3)
TRAILING_CHARS = (0, 3, 2)


def list_encodings(secrets: Iterable[str]) -> frozenset[str]:
    """Return the encodings in which one of the secrets can appear."""
    return frozenset(
        encoding
        for secret in secrets
        if secret
        for encoding in _iterate_encodings(secret)
        if encoding
    )


def is_any_found(encodings: frozenset[str], texts: Iterable[str]) -> bool:
    """Return whether any encoding occurs in any text, plain or percent-decoded."""
    decodings = [decoding for text in texts for decoding in _list_decodings(text)]
    return any(encoding in decoding for encoding in encodings for decoding in decodings)


def _list_decodings(text: str) -> set[str]:
    utf8 = text.encode("latin-1", "replace").decode("utf-8", "replace")
    return {text, utf8, unquote(text), unquote_plus(text)}


def _iterate_encodings(secret: str) -> Iterable[str]:
    yield secret
    yield quote(secret, safe="")
    for offset in range(BASE64_GROUP_BYTES):
        yield _encode_base64_core(secret, offset, b"+/")
        yield _encode_base64_core(secret, offset, b"-_")


def _encode_base64_core(secret: str, offset: int, altchars: bytes) -> str:
    """Return the base64 characters that depend only on the secret at this offset."""
    data = bytes(offset) + secret.encode()
    text = base64.b64encode(data, altchars).decode()
    end = len(text) - TRAILING_CHARS[len(data) % BASE64_GROUP_BYTES]
    return text[LEADING_CHARS[offset] : end]
