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
from .limits import (
    CLAIM_WINDOW_S,
    MAX_CLAIMS,
    MAX_CLAIMS_PER_ORGANISATION,
    MAX_REPLY_MEMORY_BYTES,
)

__all__ = ["has_room", "recall", "remember", "sweep"]


def recall(memory: ClaimTable, digest: KeyDigest, *, now_s: float) -> ClaimState | None:
    """Return the state of a key; a claim past its time counts as lost."""
    claim = memory.claims.get(digest)
    if claim is None or _forget_at_s(claim.state) <= now_s:
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


def has_room(memory: ClaimTable, organisation: OrganisationName | None) -> bool:
    """Return whether one more key of the organisation can be remembered."""
    held = memory.counts.get(organisation, 0)
    return len(memory.claims) < MAX_CLAIMS and held < MAX_CLAIMS_PER_ORGANISATION


def remember(
    memory: ClaimTable,
    digest: KeyDigest,
    organisation: OrganisationName | None,
    state: ClaimState,
) -> ClaimTable:
    """Return the memory with the key in this state; a large reply is dropped."""
    old = memory.claims.get(digest)
    left_bytes = memory.reply_bytes - (_reply_bytes(old.state) if old else 0)
    state = _fit_reply(state, MAX_REPLY_MEMORY_BYTES - left_bytes)
    claim = ClaimRecord(organisation=organisation, state=state)
    memory = evolve(
        memory,
        claims=memory.claims.set(digest, claim),
        reply_bytes=left_bytes + _reply_bytes(state),
    )
    if old is not None:
        return memory
    return _schedule(_count(memory, organisation, 1), digest, _forget_at_s(state))


def sweep(memory: ClaimTable, *, now_s: float) -> ClaimTable:
    """Return the memory without the claims whose window has passed."""
    ripe = [second for second in memory.expiry_buckets if second < int(now_s)]
    for second in ripe:
        digests = memory.expiry_buckets[second]
        memory = evolve(memory, expiry_buckets=memory.expiry_buckets.delete(second))
        for digest in digests:
            memory = _review(memory, digest, now_s)
    return memory


def _review(memory: ClaimTable, digest: KeyDigest, now_s: float) -> ClaimTable:
    claim = memory.claims[digest]
    forget_at_s = _forget_at_s(claim.state)
    if forget_at_s > now_s:
        return _schedule(memory, digest, forget_at_s)
    memory = evolve(
        memory,
        claims=memory.claims.delete(digest),
        reply_bytes=memory.reply_bytes - _reply_bytes(claim.state),
    )
    return _count(memory, claim.organisation, -1)


def _forget_at_s(state: ClaimState) -> float:
    match state:
        case Claimed(until_s=ended_s):
            pass
        case Finished(ended_s=ended_s) | OutcomeUnknown(ended_s=ended_s):
            pass
        case Released(ended_s=ended_s):
            pass
    return ended_s + CLAIM_WINDOW_S


def _schedule(memory: ClaimTable, digest: KeyDigest, at_s: float) -> ClaimTable:
    second = int(at_s)
    digests = (*memory.expiry_buckets.get(second, ()), digest)
    return evolve(memory, expiry_buckets=memory.expiry_buckets.set(second, digests))


def _count(
    memory: ClaimTable, organisation: OrganisationName | None, change: int
) -> ClaimTable:
    held = memory.counts.get(organisation, 0) + change
    if held:
        return evolve(memory, counts=memory.counts.set(organisation, held))
    return evolve(memory, counts=memory.counts.delete(organisation))


def _fit_reply(state: ClaimState, room_bytes: int) -> ClaimState:
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
