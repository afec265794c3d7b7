"""Decide, as the owner of a key, what an attempt may do and what became of it."""

from ...records import (
    ClaimAnswer,
    ClaimCrowded,
    ClaimDiffers,
    Claimed,
    ClaimEnd,
    ClaimMisdirected,
    ClaimPermitted,
    ClaimRan,
    ClaimReplayed,
    ClaimReport,
    ClaimRequest,
    ClaimRunning,
    ClaimState,
    ClaimTable,
    ClaimUnknown,
    EndedNotRun,
    EndedRan,
    EndedUnknown,
    Finished,
    IssuedKey,
    OutcomeUnknown,
    OwnerAuthority,
    PlainKey,
    Released,
    RequestDigest,
)
from .limits import (
    CLAIM_WINDOW_S,
    GRANT_MARGIN_S,
    MAX_GRANT_S,
    TAKEOVER_WAIT_S,
)
from .memory import has_room, recall, remember
from .tenure import find_misdirection, is_settled

__all__ = ["answer_claim", "take_report"]


def answer_claim(
    memory: ClaimTable, asked: ClaimRequest, *, standing: OwnerAuthority, now_s: float
) -> tuple[ClaimTable, ClaimAnswer]:
    """Return the memory and the answer to one attempt."""
    denied = _check_right(asked, standing, now_s)
    if denied is not None:
        return memory, denied
    match recall(memory, asked.key.digest, now_s=now_s):
        case Claimed(by=by) if by == asked.by:
            return memory, ClaimPermitted()
        case Released(by=by) if by == asked.by:
            return memory, ClaimMisdirected(reason="the attempt was given up before")
        case Released() | None:
            return _claim_first(memory, asked, standing, now_s)
        case Claimed(request=request) | Finished(request=request) as held:
            return memory, _answer_repeat(held, request, asked)
        case OutcomeUnknown(request=request) as held:
            return memory, _answer_repeat(held, request, asked)


def take_report(memory: ClaimTable, report: ClaimReport, *, now_s: float) -> ClaimTable:
    """Return the memory with the end of an attempt taken in.

    A release that arrives before its request bars that request alone.
    """
    match recall(memory, report.digest, now_s=now_s), report.end:
        case (Claimed(by=by) | OutcomeUnknown(by=by)) as held, end if by == report.by:
            state = _end_state(held, end, now_s)
        case ((Released() | None), EndedNotRun()) if has_room(
            memory, report.organisation
        ):
            state = Released(by=report.by, ended_s=now_s)
        case _:
            return memory
    return remember(memory, report.digest, report.organisation, state)


def _check_right(
    asked: ClaimRequest, standing: OwnerAuthority, now_s: float
) -> ClaimAnswer | None:
    match asked.key:
        case IssuedKey():
            return None
        case PlainKey(digest=digest, roster_version=version):
            reason = find_misdirection(
                standing, digest, roster_version=version, now_s=now_s
            )
            return None if reason is None else ClaimMisdirected(reason=reason)


def _claim_first(
    memory: ClaimTable, asked: ClaimRequest, standing: OwnerAuthority, now_s: float
) -> tuple[ClaimTable, ClaimAnswer]:
    doubt = _find_doubt(asked, standing, now_s)
    if doubt is not None:
        return memory, ClaimUnknown(reason=doubt)
    if not has_room(memory, asked.organisation):
        return memory, ClaimCrowded(reason="the memory for keys is full")
    valid_s = max(0.0, min(asked.valid_s, MAX_GRANT_S))
    claimed = Claimed(
        by=asked.by, request=asked.request, until_s=now_s + valid_s + GRANT_MARGIN_S
    )
    memory = remember(memory, asked.key.digest, asked.organisation, claimed)
    return memory, ClaimPermitted()


def _find_doubt(
    asked: ClaimRequest, standing: OwnerAuthority, now_s: float
) -> str | None:
    match asked.key:
        case IssuedKey(incarnation=incarnation, issued_s=issued_s):
            if incarnation != standing.own.incarnation:
                return "the host that issued the key has restarted or left"
            if now_s < issued_s + CLAIM_WINDOW_S:
                return None
            return f"the key's prefix is older than {CLAIM_WINDOW_S:g} s"
        case PlainKey(digest=digest):
            if is_settled(standing, digest):
                return None
            return f"the key's owner changed within the last {TAKEOVER_WAIT_S:g} s"


def _answer_repeat(
    held: Claimed | Finished | OutcomeUnknown,
    request: RequestDigest,
    asked: ClaimRequest,
) -> ClaimAnswer:
    if request != asked.request:
        return ClaimDiffers()
    match held:
        case Claimed():
            return ClaimRunning()
        case Finished(reply=None):
            return ClaimRan()
        case Finished(reply=reply):
            assert reply is not None
            return ClaimReplayed(reply=reply)
        case OutcomeUnknown(reason=reason):
            return ClaimUnknown(reason=reason)


def _end_state(
    held: Claimed | OutcomeUnknown, end: ClaimEnd, now_s: float
) -> ClaimState:
    """Return the state after a report; a late one does not prolong the window."""
    match held:
        case Claimed(until_s=limit_s) | OutcomeUnknown(ended_s=limit_s):
            ended_s = min(now_s, limit_s)
    match end:
        case EndedRan(reply=reply):
            return Finished(
                by=held.by, request=held.request, reply=reply, ended_s=ended_s
            )
        case EndedNotRun():
            return Released(by=held.by, ended_s=ended_s)
        case EndedUnknown(reason=reason):
            return OutcomeUnknown(
                by=held.by, request=held.request, reason=reason, ended_s=ended_s
            )
