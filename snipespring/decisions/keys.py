"""Find, check and strip the key that comes with a request."""

import base64
import hashlib
from urllib.parse import parse_qsl, quote, quote_plus, unquote_plus, urlsplit

from attrs import evolve, frozen

from ..records import (
    Configuration,
    KeyAccess,
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
BEARER = "bearer "
KEY_PARAMETER = "api_key"
IDENTITY_HEADERS = frozenset(
    {KEY_HEADER, AUTHORIZATION, "proxy-authorization", "organisation"}
)
MIN_KEY_CHARS = 8


@frozen(kw_only=True)
class Authenticated:
    """Name the organisation that a request runs for; open routes have none."""

    organisation: OrganisationName | None
    key: str | None


@frozen(kw_only=True)
class KeyRefused:
    """State why the key does not admit the request."""

    reason: str


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_key(request: Request) -> str | None:
    """Return the key in the headers or the query, or None."""
    for header in request.headers:
        name = header.name.lower()
        if name == KEY_HEADER:
            return header.value.strip()
        if name == AUTHORIZATION and header.value.lower().startswith(BEARER):
            return header.value[len(BEARER) :].strip()
    query = urlsplit(request.path).query
    return dict(parse_qsl(query)).get(KEY_PARAMETER)


def authenticate(
    cfg: Configuration, route: RouteRule, request: Request
) -> Authenticated | KeyRefused:
    """Return whom the request runs for, or why it may not run."""
    key = find_key(request)
    match route.access:
        case OpenAccess():
            return Authenticated(organisation=None, key=key)
        case KeyAccess() if key is None:
            return KeyRefused(reason="the request carries no key")
        case KeyAccess():
            return _admit(cfg, key)


def _admit(cfg: Configuration, key: str) -> Authenticated | KeyRefused:
    organisation = cfg.keys.get(digest_key(key))
    if organisation is None:
        return KeyRefused(reason="the key is not valid")
    return Authenticated(organisation=organisation, key=key)


def strip_key(request: Request, key: str | None) -> Request:
    """Return the request without identity headers or any form of the key."""
    forms = _forms(key)
    headers = tuple(
        header
        for header in request.headers
        if header.name.lower() not in IDENTITY_HEADERS
        and not _contains(header.value, forms)
    )
    return evolve(request, headers=headers, path=_strip_path(request.path, forms))


def _strip_path(path: str, forms: frozenset[str]) -> str:
    base, _, query = path.partition("?")
    kept = [part for part in query.split("&") if part and _keeps(part, forms)]
    return f"{base}?{'&'.join(kept)}" if kept else base


def _keeps(part: str, forms: frozenset[str]) -> bool:
    name = unquote_plus(part.partition("=")[0]).lower()
    return name != KEY_PARAMETER and not _contains(part, forms)


def _contains(text: str, forms: frozenset[str]) -> bool:
    return any(form in text or form in unquote_plus(text) for form in forms)


def _forms(key: str | None) -> frozenset[str]:
    if key is None or len(key) < MIN_KEY_CHARS:
        return frozenset()
    encoded = key.encode()
    return frozenset(
        {
            key,
            quote(key),
            quote_plus(key),
            base64.b64encode(encoded).decode().rstrip("="),
            base64.urlsafe_b64encode(encoded).decode().rstrip("="),
            encoded.hex(),
        }
    )
