"""Remember claims for a window after they ended, in bounded memory."""

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

__all__ = ["has_room", "look_up_claim", "store_claim", "remove_expired_claims"]


def look_up_claim(
    table: ClaimTable, digest: KeyDigest, *, now_s: float
) -> ClaimState | None:
    """Return the state of a key; a claim past its time counts as lost."""
    claim = table.claims.get(digest)
    if claim is None or _expires_at_s(claim.state) <= now_s:
        return None
    match claim.state:
        case Claimed(by=by, request=request, until_s=until_s) if until_s <= now_s:
            return OutcomeUnknown(
                by=by,
                request=request,
                reason="the host that ran it did not report in time",
                ended_s=until_s,
            )
        case state:
            return state


def has_room(table: ClaimTable, organisation: OrganisationName | None) -> bool:
    """Return whether one more key of the organisation can be remembered."""
    held = table.counts.get(organisation, 0)
    return len(table.claims) < MAX_CLAIMS and held < MAX_CLAIMS_PER_ORGANISATION


def store_claim(
    table: ClaimTable,
    digest: KeyDigest,
    organisation: OrganisationName | None,
    state: ClaimState,
) -> ClaimTable:
    """Return the memory with the key in this state; a large reply is dropped."""
    old = table.claims.get(digest)
    left_bytes = table.reply_bytes - (_reply_bytes(old.state) if old else 0)
    state = _drop_large_reply(state, MAX_REPLY_MEMORY_BYTES - left_bytes)
    claim = ClaimRecord(organisation=organisation, state=state)
    table = evolve(
        table,
        claims=table.claims.set(digest, claim),
        reply_bytes=left_bytes + _reply_bytes(state),
    )
    if old is not None:
        return table
    return _schedule(
        _change_count(table, organisation, 1), digest, _expires_at_s(state)
    )


def remove_expired_claims(table: ClaimTable, *, now_s: float) -> ClaimTable:
    """Return the memory without the claims whose window has passed."""
    ripe = [second for second in table.expiry_buckets if second < int(now_s)]
    for second in ripe:
        digests = table.expiry_buckets[second]
        table = evolve(table, expiry_buckets=table.expiry_buckets.delete(second))
        for digest in digests:
            table = _remove_if_expired(table, digest, now_s)
    return table


def _remove_if_expired(
    table: ClaimTable, digest: KeyDigest, now_s: float
) -> ClaimTable:
    claim = table.claims[digest]
    forget_at_s = _expires_at_s(claim.state)
    if forget_at_s > now_s:
        return _schedule(table, digest, forget_at_s)
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
    held = table.counts.get(organisation, 0) + change
    if held:
        return evolve(table, counts=table.counts.set(organisation, held))
    return evolve(table, counts=table.counts.delete(organisation))


def _drop_large_reply(state: ClaimState, room_bytes: int) -> ClaimState:
    if _reply_bytes(state) <= room_bytes:
        return state
    match state:
        case Finished():
            return evolve(state, reply=None)
        case _:
            return state


def _reply_bytes(state: ClaimState) -> int:
    match state:
        case Finished(reply=reply) if reply is not None:
            fields = sum(len(head.name) + len(head.value) for head in reply.headers)
            return len(reply.body) + fields
        case _:
            return 0
