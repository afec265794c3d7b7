"""Find secrets in request texts, also percent-encoded or in base64."""

import base64
from collections.abc import Iterable
from urllib.parse import quote, unquote, unquote_plus

__all__ = ["list_encodings", "is_any_found"]

BASE64_GROUP_BYTES = 3
LEADING_CHARS = (0, 2, 3)
TRAILING_CHARS = (0, 3, 2)


def list_encodings(secrets: Iterable[str]) -> frozenset[str]:
    """Return every text that shows one of the secrets."""
    return frozenset(
        form
        for secret in secrets
        if secret
        for form in _iterate_encodings(secret)
        if form
    )


def is_any_found(encodings: frozenset[str], texts: Iterable[str]) -> bool:
    """Return whether a form stands in any text, as it is or percent-decoded."""
    views = [view for text in texts for view in _list_decodings(text)]
    return any(form in view for form in encodings for view in views)


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
    """Return the characters that the secret alone fixes at this alignment."""
    data = bytes(offset) + secret.encode()
    text = base64.b64encode(data, altchars).decode()
    end = len(text) - TRAILING_CHARS[len(data) % BASE64_GROUP_BYTES]
    return text[LEADING_CHARS[offset] : end]
