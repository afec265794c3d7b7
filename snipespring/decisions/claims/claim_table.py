"""Store claims for a time window after their end, in bounded memory."""

from attrs import evolve

from ...records import (
    Claimed,
    ClaimRecord,
    ClaimState,
    ClaimTable,
    Finished,
    KeyDigest,
    OrganisationName,
    OutcomeUnknown,
    Released,
)
from .constants import (
    CLAIM_WINDOW_S,
    MAX_CLAIMS,
    MAX_CLAIMS_PER_ORGANISATION,
    MAX_REPLY_MEMORY_BYTES,
)

__all__ = ["has_room", "look_up_claim", "remove_expired_claims", "store_claim"]


def look_up_claim(
    table: ClaimTable, digest: KeyDigest, *, now_s: float
) -> ClaimState | None:
    """Return the state of a key, or None if its claim has expired or never existed.

    If the end of an attempt was not reported in time, its outcome counts as unknown.
    """
    claim = table.claims.get(digest)
    if claim is None or _expires_at_s(claim.state) <= now_s:
        return None
    match claim.state:
        case Claimed(by=by, request=request, until_s=until_s) if until_s <= now_s:
            return OutcomeUnknown(
                by=by,
                request=request,
                reason="the host that ran the request did not report its end in time",
                ended_s=until_s,
            )
        case state:
            return state


def has_room(table: ClaimTable, organisation: OrganisationName | None) -> bool:
    """Return whether one more key of the organisation can be stored."""
    count = table.counts.get(organisation, 0)
    return len(table.claims) < MAX_CLAIMS and count < MAX_CLAIMS_PER_ORGANISATION


def store_claim(
    table: ClaimTable,
    digest: KeyDigest,
    organisation: OrganisationName | None,
    state: ClaimState,
) -> ClaimTable:
    """Return the table with the key in this state.

    The recorded reply is dropped if it exceeds the memory left for replies.
    """
    previous = table.claims.get(digest)
    other_bytes = table.reply_bytes - (_reply_bytes(previous.state) if previous else 0)
    state = _drop_large_reply(state, MAX_REPLY_MEMORY_BYTES - other_bytes)
    claim = ClaimRecord(organisation=organisation, state=state)
    table = evolve(
        table,
        claims=table.claims.set(digest, claim),
        reply_bytes=other_bytes + _reply_bytes(state),
    )
    if previous is not None:
        return table
    return _schedule(
        _change_count(table, organisation, 1), digest, _expires_at_s(state)
    )


def remove_expired_claims(table: ClaimTable, *, now_s: float) -> ClaimTable:
    """Return the table without the claims that ended more than CLAIM_WINDOW_S ago."""
    due_seconds = [second for second in table.expiry_buckets if second < int(now_s)]
    for second in due_seconds:
        digests = table.expiry_buckets[second]
        table = evolve(table, expiry_buckets=table.expiry_buckets.delete(second))
        for digest in digests:
            table = _remove_if_expired(table, digest, now_s)
    return table


def _remove_if_expired(
    table: ClaimTable, digest: KeyDigest, now_s: float
) -> ClaimTable:
    claim = table.claims[digest]
    expires_at_s = _expires_at_s(claim.state)
    if expires_at_s > now_s:
        return _schedule(table, digest, expires_at_s)
    table = evolve(
        table,
        claims=table.claims.delete(digest),
        reply_bytes=table.reply_bytes - _reply_bytes(claim.state),
    )
    return _change_count(table, claim.organisation, -1)


def _expires_at_s(state: ClaimState) -> float:
    match state:
        case Claimed(until_s=ended_s):
            pass
        case Finished(ended_s=ended_s) | OutcomeUnknown(ended_s=ended_s):
            pass
        case Released(ended_s=ended_s):
            pass
    return ended_s + CLAIM_WINDOW_S


def _schedule(table: ClaimTable, digest: KeyDigest, at_s: float) -> ClaimTable:
    second = int(at_s)
    digests = (*table.expiry_buckets.get(second, ()), digest)
    return evolve(table, expiry_buckets=table.expiry_buckets.set(second, digests))


def _change_count(
    table: ClaimTable, organisation: OrganisationName | None, change: int
) -> ClaimTable:
    count = table.counts.get(organisation, 0) + change
    if count:
        return evolve(table, counts=table.counts.set(organisation, count))
    return evolve(table, counts=table.counts.delete(organisation))


def _drop_large_reply(state: ClaimState, max_bytes: int) -> ClaimState:
    if _reply_bytes(state) <= max_bytes:
        return state
    match state:
        case Finished():
            return evolve(state, reply=None)
        case _:
            return state


def _reply_bytes(state: ClaimState) -> int:
    match state:
        case Finished(reply=reply) if reply is not None:
            header_bytes = sum(
                len(header.name) + len(header.value) for header in reply.headers
            )
            return len(reply.body) + header_bytes
        case _:
            return 0
