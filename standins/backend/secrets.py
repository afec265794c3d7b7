"""Find secrets in request texts, also percent-encoded or in base64."""

import base64
from collections.abc import Iterable
from urllib.parse import quote, unquote, unquote_plus

__all__ = ["encoded_forms", "is_seen"]

BASE64_GROUP_BYTES = 3
LEADING_CHARS = (0, 2, 3)
TRAILING_CHARS = (0, 3, 2)


def encoded_forms(secrets: Iterable[str]) -> frozenset[str]:
    """Return every text that shows one of the secrets."""
    return frozenset(
        form for secret in secrets if secret for form in _forms(secret) if form
    )


def is_seen(forms: frozenset[str], texts: Iterable[str]) -> bool:
    """Return whether a form stands in any text, as it is or percent-decoded."""
    views = [view for text in texts for view in _views(text)]
    return any(form in view for form in forms for view in views)


def _views(text: str) -> set[str]:
    utf8 = text.encode("latin-1", "replace").decode("utf-8", "replace")
    return {text, utf8, unquote(text), unquote_plus(text)}


def _forms(secret: str) -> Iterable[str]:
    yield secret
    yield quote(secret, safe="")
    for offset in range(BASE64_GROUP_BYTES):
        yield _base64_core(secret, offset, b"+/")
        yield _base64_core(secret, offset, b"-_")


def _base64_core(secret: str, offset: int, altchars: bytes) -> str:
    """Return the characters that the secret alone fixes at this alignment."""
    data = bytes(offset) + secret.encode()
    text = base64.b64encode(data, altchars).decode()
    end = len(text) - TRAILING_CHARS[len(data) % BASE64_GROUP_BYTES]
    return text[LEADING_CHARS[offset] : end]
