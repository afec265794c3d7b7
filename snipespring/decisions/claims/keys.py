"""Read idempotency keys and issue the key prefixes that name their owner.

A caller may put an issued prefix before its own key text; the host that issued the
prefix then owns the key. All other keys are plain ones.
"""

import hashlib
import hmac
from urllib.parse import quote, unquote

from attrs import frozen

from ...records import (
    Host,
    HostId,
    Incarnation,
    IssuedKey,
    KeyDigest,
    OrganisationName,
    PlainKey,
    Request,
    RequestDigest,
)
from .constants import MAX_KEY_CHARS

__all__ = [
    "KeyAbsent",
    "KeyMalformed",
    "derive_issuing_key",
    "digest_request",
    "issue_prefix",
    "read_claim_key",
    "strips_claim_key",
]

KEY_HEADER = "idempotency-key"
PREFIX_TAG = "sk1"
PREFIX_FIELDS = 5
SEPARATOR = "."
ISSUING_LABEL = b"snipespring idempotency prefix 1"
MAC_CHARS = 32
DIGEST_BYTES = 16


@frozen(kw_only=True)
class KeyAbsent:
    """Report that the request has no idempotency key."""


@frozen(kw_only=True)
class KeyMalformed:
    """Report why the idempotency key cannot be used."""

    reason: str


def derive_issuing_key(secret: bytes) -> bytes:
    """Derive the key that authenticates prefixes from the fleet's secret."""
    return hmac.new(secret, ISSUING_LABEL, hashlib.sha256).digest()


def issue_prefix(
    issuing_key: bytes,
    *,
    own_host: Host,
    organisation: OrganisationName | None,
    now_s: float,
) -> str:
    """Return a key prefix that names this process and only the organisation may use."""
    fields = (
        PREFIX_TAG,
        _escape(own_host.host_id),
        _escape(own_host.incarnation),
        str(int(now_s)),
    )
    text = SEPARATOR.join(fields)
    return SEPARATOR.join((text, _authenticate(issuing_key, text, organisation)))


def read_claim_key(
    request: Request,
    *,
    organisation: OrganisationName | None,
    issuing_key: bytes,
    roster_version: int,
) -> IssuedKey | PlainKey | KeyAbsent | KeyMalformed:
    """Return the request's idempotency key, or why there is no usable one."""
    values = _key_values(request)
    if not values:
        return KeyAbsent()
    text = values[0].strip()
    if len(values) > 1 or not _is_valid_key(text):
        return KeyMalformed(
            reason="an idempotency key must be one header field of 1 to "
            f"{MAX_KEY_CHARS} visible characters"
        )
    digest = _digest_key(text, organisation)
    if text.startswith(PREFIX_TAG + SEPARATOR):
        return _read_issued(text, organisation, issuing_key, digest)
    return PlainKey(digest=digest, roster_version=roster_version)


def strips_claim_key(request: Request, stripped: Request) -> bool:
    """Return whether removing the organisation's key changed the idempotency key."""
    return _key_values(request) != _key_values(stripped)


def digest_request(request: Request) -> RequestDigest:
    """Return a digest of the method, the path and the body."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return RequestDigest(digest.digest())


def _read_issued(
    text: str,
    organisation: OrganisationName | None,
    issuing_key: bytes,
    digest: KeyDigest,
) -> IssuedKey | KeyMalformed:
    parts = text.split(SEPARATOR, PREFIX_FIELDS)
    if len(parts) != PREFIX_FIELDS + 1 or not parts[PREFIX_FIELDS]:
        return KeyMalformed(reason="the issued prefix is not followed by a key text")
    signed, mac = SEPARATOR.join(parts[: PREFIX_FIELDS - 1]), parts[PREFIX_FIELDS - 1]
    expected = _authenticate(issuing_key, signed, organisation)
    if not hmac.compare_digest(mac.encode(), expected.encode()):
        return KeyMalformed(
            reason="the prefix was not issued to this organisation by this fleet"
        )
    _, host_id, incarnation, issued_s, *_ = parts
    return IssuedKey(
        digest=digest,
        host_id=HostId(unquote(host_id)),
        incarnation=Incarnation(unquote(incarnation)),
        issued_s=int(issued_s),
    )


def _key_values(request: Request) -> list[str]:
    return [
        header.value for header in request.headers if header.name.lower() == KEY_HEADER
    ]


def _is_valid_key(text: str) -> bool:
    return 0 < len(text) <= MAX_KEY_CHARS and all("!" <= char <= "~" for char in text)


def _escape(text: str) -> str:
    return quote(text, safe="").replace(SEPARATOR, "%2E")


def _authenticate(
    issuing_key: bytes, text: str, organisation: OrganisationName | None
) -> str:
    scope = f"{text}\0{organisation or ''}".encode()
    return hmac.new(issuing_key, scope, hashlib.sha256).hexdigest()[:MAC_CHARS]


def _digest_key(text: str, organisation: OrganisationName | None) -> KeyDigest:
    content = f"{organisation or ''}\0{text}".encode()
    return KeyDigest(hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest())
