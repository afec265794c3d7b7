"""Decide, as the owner of a key, whether an attempt may run and how it ended."""

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
from .claim_table import has_room, look_up_claim, store_claim
from .constants import (
    CLAIM_WINDOW_S,
    GRANT_MARGIN_S,
    MAX_GRANT_S,
    TAKEOVER_WAIT_S,
)
from .tenure import find_misdirection, is_sole_owner

__all__ = ["answer_claim", "receive_report"]


def answer_claim(
    table: ClaimTable,
    claim_request: ClaimRequest,
    *,
    authority: OwnerAuthority,
    now_s: float,
) -> tuple[ClaimTable, ClaimAnswer]:
    """Return the table and the answer to an attempt that asks whether it may run."""
    denial = _check_authority(claim_request, authority, now_s)
    if denial is not None:
        return table, denial
    match look_up_claim(table, claim_request.key.digest, now_s=now_s):
        case Claimed(by=by) if by == claim_request.by:
            return table, ClaimPermitted()
        case Released(by=by) if by == claim_request.by:
            return table, ClaimMisdirected(
                reason="the attempt has already been released"
            )
        case Released() | None:
            return _grant_first_attempt(table, claim_request, authority, now_s)
        case Claimed(request=request) | Finished(request=request) as state:
            return table, _answer_repeat(state, request, claim_request)
        case OutcomeUnknown(request=request) as state:
            return table, _answer_repeat(state, request, claim_request)


def receive_report(
    table: ClaimTable, report: ClaimReport, *, now_s: float
) -> ClaimTable:
    """Return the table with the end of an attempt recorded.

    A report that an attempt did not run may arrive before the attempt's own
    request for a claim; only that attempt is then barred from running.
    """
    match look_up_claim(table, report.digest, now_s=now_s), report.end:
        case (Claimed(by=by) | OutcomeUnknown(by=by)) as current, end if (
            by == report.by
        ):
            state = _end_state(current, end, now_s)
        case ((Released() | None), EndedNotRun()) if has_room(
            table, report.organisation
        ):
            state = Released(by=report.by, ended_s=now_s)
        case _:
            return table
    return store_claim(table, report.digest, report.organisation, state)


def _check_authority(
    claim_request: ClaimRequest, authority: OwnerAuthority, now_s: float
) -> ClaimAnswer | None:
    match claim_request.key:
        case IssuedKey():
            return None
        case PlainKey(digest=digest, roster_version=version):
            reason = find_misdirection(
                authority, digest, roster_version=version, now_s=now_s
            )
            return None if reason is None else ClaimMisdirected(reason=reason)


def _grant_first_attempt(
    table: ClaimTable,
    claim_request: ClaimRequest,
    authority: OwnerAuthority,
    now_s: float,
) -> tuple[ClaimTable, ClaimAnswer]:
    unknown_reason = _find_unknown_reason(claim_request, authority, now_s)
    if unknown_reason is not None:
        return table, ClaimUnknown(reason=unknown_reason)
    if not has_room(table, claim_request.organisation):
        return table, ClaimCrowded(reason="the memory for idempotency keys is full")
    valid_s = max(0.0, min(claim_request.valid_s, MAX_GRANT_S))
    claimed = Claimed(
        by=claim_request.by,
        request=claim_request.request,
        until_s=now_s + valid_s + GRANT_MARGIN_S,
    )
    table = store_claim(
        table, claim_request.key.digest, claim_request.organisation, claimed
    )
    return table, ClaimPermitted()


def _find_unknown_reason(
    claim_request: ClaimRequest, authority: OwnerAuthority, now_s: float
) -> str | None:
    match claim_request.key:
        case IssuedKey(incarnation=incarnation, issued_s=issued_s):
            if incarnation != authority.own.incarnation:
                return "the host that issued the key has restarted or left"
            if now_s < issued_s + CLAIM_WINDOW_S:
                return None
            return f"the key's prefix is older than {CLAIM_WINDOW_S:g} s"
        case PlainKey(digest=digest):
            if is_sole_owner(authority, digest):
                return None
            return f"the key's owner changed within the last {TAKEOVER_WAIT_S:g} s"


def _answer_repeat(
    state: Claimed | Finished | OutcomeUnknown,
    request: RequestDigest,
    claim_request: ClaimRequest,
) -> ClaimAnswer:
    if request != claim_request.request:
        return ClaimDiffers()
    match state:
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
    state: Claimed | OutcomeUnknown, end: ClaimEnd, now_s: float
) -> ClaimState:
    """Return the state after a report; a late one does not prolong the claim."""
    match state:
        case Claimed(until_s=limit_s) | OutcomeUnknown(ended_s=limit_s):
            ended_s = min(now_s, limit_s)
    match end:
        case EndedRan(reply=reply):
            return Finished(
                by=state.by, request=state.request, reply=reply, ended_s=ended_s
            )
        case EndedNotRun():
            return Released(by=state.by, ended_s=ended_s)
        case EndedUnknown(reason=reason):
            return OutcomeUnknown(
                by=state.by, request=state.request, reason=reason, ended_s=ended_s
            )
