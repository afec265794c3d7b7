"""Find, check and remove the API key of a request."""

import contextlib
import hashlib
import re
from base64 import b64encode, urlsafe_b64decode
from collections.abc import Iterator
from urllib.parse import parse_qsl, unquote, unquote_plus, urlsplit

from attrs import evolve, frozen

from ..records import (
    Configuration,
    Header,
    KeyAccess,
    KeyExtracted,
    KeyInRequest,
    OpenAccess,
    OrganisationName,
    Request,
    RouteRule,
)

__all__ = [
    "Authenticated",
    "KeyRefused",
    "authenticate",
    "digest_key",
    "find_key",
    "strip_key",
]

KEY_HEADER = "api-key"
AUTHORIZATION = "authorization"
BEARER_PREFIX = "bearer "
KEY_PARAMETER = "api_key"
COOKIE = "cookie"
IDENTITY_HEADERS = frozenset(
    {
        KEY_HEADER,
        "x-api-key",
        AUTHORIZATION,
        "proxy-authorization",
        "organisation",
        "x-organisation",
    }
)
MIN_KEY_CHARS = 8
MAX_DECODINGS = 64
_TOKEN_PATTERNS = (
    re.compile(r"[A-Za-z0-9+/_-]{8,}"),
    re.compile(r"[A-Za-z0-9+_-]{8,}"),
)


@frozen(kw_only=True)
class Authenticated:
    """Identify the organisation of a request, None on routes that need no key."""

    organisation: OrganisationName | None
    key: str | None


@frozen(kw_only=True)
class _KeyForms:
    """Represent the plain and the encoded texts by which a key is found."""

    texts: tuple[str, ...]
    hex_text: str
    key_chars: int


@frozen(kw_only=True)
class KeyRefused:
    """Explain why a request is refused for its key."""

    reason: str


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_key(request: Request) -> str | None:
    """Return the key from the headers or the query, or None."""
    for header in request.headers:
        name = header.name.lower()
        if name == KEY_HEADER:
            return header.value.strip()
        if name == AUTHORIZATION and header.value.lower().startswith(BEARER_PREFIX):
            return header.value[len(BEARER_PREFIX) :].strip()
    query = urlsplit(request.path).query
    return dict(parse_qsl(query)).get(KEY_PARAMETER)


def authenticate(
    cfg: Configuration, route: RouteRule, request: Request
) -> Authenticated | KeyRefused:
    """Return the organisation of the request, or why it is refused."""
    match request.key_location:
        case KeyExtracted(key=key):
            return _check_access(cfg, route, key)
        case KeyInRequest():
            return _check_key_in_request(cfg, route, request)


def _check_key_in_request(
    cfg: Configuration, route: RouteRule, request: Request
) -> Authenticated | KeyRefused:
    key = find_key(request)
    if key is not None and len(key) < MIN_KEY_CHARS:
        return KeyRefused(reason=f"the key has fewer than {MIN_KEY_CHARS} characters")
    if _contains_key(urlsplit(request.path).path, _make_forms(key)):
        return KeyRefused(reason="the request path contains the key")
    return _check_access(cfg, route, key)


def _check_access(
    cfg: Configuration, route: RouteRule, key: str | None
) -> Authenticated | KeyRefused:
    match route.access:
        case OpenAccess():
            return Authenticated(organisation=None, key=key)
        case KeyAccess() if key is None:
            return KeyRefused(reason="the request has no key")
        case KeyAccess():
            return _look_up_organisation(cfg, key)


def _look_up_organisation(cfg: Configuration, key: str) -> Authenticated | KeyRefused:
    organisation = cfg.keys.get(digest_key(key))
    if organisation is None:
        return KeyRefused(reason="the key is not valid")
    return Authenticated(organisation=organisation, key=key)


def strip_key(request: Request, key: str | None) -> Request:
    """Return the request without `IDENTITY_HEADERS` and without the caller's API key.

    The key is removed in plain and encoded form. A request whose key the front end has
    removed is returned unchanged.
    """
    match request.key_location:
        case KeyExtracted():
            return request
        case KeyInRequest():
            pass
    forms = _make_forms(key)
    headers = tuple(
        stripped
        for header in request.headers
        if (stripped := _strip_header(header, forms)) is not None
    )
    return evolve(request, headers=headers, path=_strip_query(request.path, forms))


def _make_forms(key: str | None) -> _KeyForms | None:
    """Return the texts to search, None without a key that is long enough."""
    if key is None or len(key) < MIN_KEY_CHARS:
        return None
    encoded = key.encode()
    return _KeyForms(
        texts=(key, *_list_base64_fragments(encoded)),
        hex_text=encoded.hex(),
        key_chars=len(key),
    )


def _strip_header(header: Header, forms: _KeyForms | None) -> Header | None:
    name = header.name.lower().replace("_", "-")
    if name in IDENTITY_HEADERS or _contains_key(header.name, forms):
        return None
    if not _contains_key(header.value, forms):
        return header
    if name != COOKIE:
        return None
    parts = [part for part in header.value.split(";") if not _contains_key(part, forms)]
    value = ";".join(parts).strip()
    if not value or _contains_key(value, forms):
        return None
    return evolve(header, value=value)


def _strip_query(path: str, forms: _KeyForms | None) -> str:
    base, _, query = path.partition("?")
    parts = query.split("&")
    has_key = any(_is_key_parameter(part, forms) for part in parts)
    if not has_key and not _contains_key(query, forms):
        return path
    remaining = [part for part in parts if part and not _is_key_parameter(part, forms)]
    stripped = "&".join(remaining)
    # The key may extend over several parameters, none of which contains it alone.
    return (
        base if not stripped or _contains_key(stripped, forms) else f"{base}?{stripped}"
    )


def _is_key_parameter(part: str, forms: _KeyForms | None) -> bool:
    name = unquote_plus(part.partition("=")[0]).lower()
    return name == KEY_PARAMETER or _contains_key(part, forms)


def _contains_key(text: str, forms: _KeyForms | None) -> bool:
    """Return whether the text contains the key, plain or encoded.

    Also return True for a text with more than `MAX_DECODINGS` decoded forms, since no
    more than these are searched.
    """
    if forms is None:
        return False
    seen = {text}
    queue = [text]
    while queue:
        current = queue.pop()
        if forms.hex_text in current.lower():
            return True
        if any(form in current for form in forms.texts):
            return True
        decoded = _decode_once(current, forms.key_chars)
        new = {other for other in decoded if other not in seen}
        seen |= new
        queue.extend(new)
        if len(seen) > MAX_DECODINGS:
            return True
    return False


def _list_base64_fragments(key: bytes) -> Iterator[str]:
    """Yield the base64 fragments by which an encoded text that contains a key is found.

    Base64 encodes three bytes as four characters, so the encoding of the key depends on
    its offset in the text modulo three. A fragment omits the characters that also
    encode bytes beside the key. Each fragment is given in the standard and in the
    URL-safe alphabet.
    """
    for offset in range(3):
        bits = (offset + len(key)) * 8
        first = -(-offset * 8 // 6)
        encoded = b64encode(bytes(offset) + key).decode()[first : bits // 6]
        yield encoded
        yield encoded.replace("+", "-").replace("/", "_")


def _decode_once(text: str, key_chars: int) -> Iterator[str]:
    if "%" in text:
        yield unquote(text)
    if "+" in text:
        yield unquote_plus(text)
    for pattern in _TOKEN_PATTERNS:
        for match in pattern.finditer(text):
            if len(match[0]) >= key_chars:
                yield from _decode_token(match[0])


def _decode_token(token: str) -> Iterator[str]:
    with contextlib.suppress(ValueError):
        yield bytes.fromhex(token).decode()
    padded = token.replace("+", "-").replace("/", "_") + "=" * (-len(token) % 4)
    with contextlib.suppress(ValueError):
        yield urlsafe_b64decode(padded).decode()
