"""Remember claims for a window after they ended, in bounded memory."""

from attrs import evolve

from ...records import (
    Claimed,
    ClaimMemory,
    ClaimState,
    Finished,
    KeyDigest,
    Lost,
    OrganisationName,
    Released,
    RememberedClaim,
)
from .constants import (
    CLAIM_WINDOW_S,
    MAX_CLAIMS,
    MAX_CLAIMS_PER_ORGANISATION,
    MAX_REPLY_MEMORY_BYTES,
)

__all__ = ["has_room", "look_up_claim", "store_claim", "remove_expired_claims"]


def look_up_claim(
    memory: ClaimMemory, digest: KeyDigest, *, now_s: float
) -> ClaimState | None:
    """Return the state of a key; a claim past its time counts as lost."""
    claim = memory.claims.get(digest)
    if claim is None or _expires_at_s(claim.state) <= now_s:
        return None
    match claim.state:
        case Claimed(by=by, request=request, until_s=until_s) if until_s <= now_s:
            return Lost(
                by=by,
                request=request,
                reason="the host that ran it did not report in time",
                ended_s=until_s,
            )
        case state:
            return state


def has_room(memory: ClaimMemory, organisation: OrganisationName | None) -> bool:
    """Return whether one more key of the organisation can be remembered."""
    held = memory.counts.get(organisation, 0)
    return len(memory.claims) < MAX_CLAIMS and held < MAX_CLAIMS_PER_ORGANISATION


def store_claim(
    memory: ClaimMemory,
    digest: KeyDigest,
    organisation: OrganisationName | None,
    state: ClaimState,
) -> ClaimMemory:
    """Return the memory with the key in this state; a large reply is dropped."""
    old = memory.claims.get(digest)
    left_bytes = memory.reply_bytes - (_reply_bytes(old.state) if old else 0)
    state = _drop_large_reply(state, MAX_REPLY_MEMORY_BYTES - left_bytes)
    claim = RememberedClaim(organisation=organisation, state=state)
    memory = evolve(
        memory,
        claims=memory.claims.set(digest, claim),
        reply_bytes=left_bytes + _reply_bytes(state),
    )
    if old is not None:
        return memory
    return _schedule(
        _change_count(memory, organisation, 1), digest, _expires_at_s(state)
    )


def remove_expired_claims(memory: ClaimMemory, *, now_s: float) -> ClaimMemory:
    """Return the memory without the claims whose window has passed."""
    ripe = [second for second in memory.due if second < int(now_s)]
    for second in ripe:
        digests = memory.due[second]
        memory = evolve(memory, due=memory.due.delete(second))
        for digest in digests:
            memory = _remove_if_expired(memory, digest, now_s)
    return memory


def _remove_if_expired(
    memory: ClaimMemory, digest: KeyDigest, now_s: float
) -> ClaimMemory:
    claim = memory.claims[digest]
    forget_at_s = _expires_at_s(claim.state)
    if forget_at_s > now_s:
        return _schedule(memory, digest, forget_at_s)
    memory = evolve(
        memory,
        claims=memory.claims.delete(digest),
        reply_bytes=memory.reply_bytes - _reply_bytes(claim.state),
    )
    return _change_count(memory, claim.organisation, -1)


def _expires_at_s(state: ClaimState) -> float:
    match state:
        case Claimed(until_s=ended_s):
            pass
        case Finished(ended_s=ended_s) | Lost(ended_s=ended_s):
            pass
        case Released(ended_s=ended_s):
            pass
    return ended_s + CLAIM_WINDOW_S


def _schedule(memory: ClaimMemory, digest: KeyDigest, at_s: float) -> ClaimMemory:
    second = int(at_s)
    digests = (*memory.due.get(second, ()), digest)
    return evolve(memory, due=memory.due.set(second, digests))


def _change_count(
    memory: ClaimMemory, organisation: OrganisationName | None, change: int
) -> ClaimMemory:
    held = memory.counts.get(organisation, 0) + change
    if held:
        return evolve(memory, counts=memory.counts.set(organisation, held))
    return evolve(memory, counts=memory.counts.delete(organisation))


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
