"""Decide, on the host that received a request, which owner to ask for a claim.

The owner of an idempotency key decides whether a request may run. Its answer is
turned into permission to run, a recorded reply or a refusal.
"""

from attrs import frozen

from ...records import (
    Address,
    ClaimCrowded,
    ClaimDiffers,
    ClaimEnd,
    ClaimGranted,
    ClaimKey,
    ClaimMisdirected,
    ClaimPermitted,
    ClaimRan,
    ClaimRefused,
    ClaimRepeated,
    ClaimReplayed,
    ClaimRequest,
    ClaimResult,
    ClaimRunning,
    ClaimUnknown,
    EndedNotRun,
    EndedRan,
    EndedUnknown,
    Header,
    Host,
    IssuedKey,
    NotRun,
    OrganisationName,
    PeerFailed,
    PeerResult,
    PlainKey,
    Ran,
    RecordedReply,
    Reply,
    Roster,
    Unknown,
)
from ..membership import find_role_holder
from .constants import MAX_GRANT_S, MAX_RECORDED_REPLY_BYTES
from .tenure import role_of

__all__ = [
    "OwnerUnknown",
    "end_from_reply",
    "find_owner",
    "interpret_answer",
    "may_send",
    "refuse_malformed",
    "refuse_owner_unknown",
]

BAD_REQUEST = 400
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503
RUNNING_RETRY_AFTER_S = 1.0
OWNER_RETRY_AFTER_S = 1.0
FULL_MEMORY_RETRY_AFTER_S = 5.0


@frozen(kw_only=True)
class OwnerUnknown:
    """Report why no owner of a key can be found."""

    reason: str


def find_owner(key: ClaimKey, *, roster: Roster, own_host: Host) -> Host | OwnerUnknown:
    """Return the host to ask about a key, according to this host's roster.

    An issued key belongs to the host that issued its prefix. Once that host has left
    the roster, the key belongs to the host that the roster's hash function chooses
    for the key, to which a stopping host hands its claims over.
    """
    match key:
        case IssuedKey(incarnation=incarnation) if incarnation == own_host.incarnation:
            return own_host
        case IssuedKey(host_id=host_id, incarnation=incarnation):
            host = roster.hosts.get(host_id)
            if host is not None and host.incarnation == incarnation:
                return host
            return _find_holder(key, roster)
        case PlainKey():
            return _find_holder(key, roster)


def refuse_malformed(reason: str) -> ClaimRefused:
    """Return the refusal of a key that is not valid for this caller."""
    return ClaimRefused(outcome=NotRun(reason=reason), status=BAD_REQUEST)


def refuse_owner_unknown(unknown: OwnerUnknown) -> ClaimRefused:
    """Return the refusal of a key whose owner is unknown."""
    return ClaimRefused(outcome=_unknown_not_repeated(unknown.reason), status=CONFLICT)


def interpret_answer(
    result: PeerResult,
    claim_request: ClaimRequest,
    *,
    owner: Address,
    requested_s: float,
) -> ClaimResult:
    """Return what the owner's answer means for the request.

    The time of a grant counts from `requested_s`, when the owner was asked.
    """
    match result:
        case ClaimPermitted():
            return ClaimGranted(
                organisation=claim_request.organisation,
                digest=claim_request.key.digest,
                by=claim_request.by,
                owner=owner,
                until_s=requested_s + min(claim_request.valid_s, MAX_GRANT_S),
            )
        case ClaimReplayed(reply=recorded):
            return ClaimRepeated(
                reply=_reply_from_record(recorded, claim_request.by.request_id)
            )
        case ClaimRan():
            return ClaimRepeated(reply=_ran_without_reply(claim_request.by.request_id))
        case _:
            return _refuse(result)


def may_send(claim: ClaimResult, *, now_s: float) -> bool:
    """Return whether a request may still be sent to a backend server."""
    match claim:
        case ClaimGranted(until_s=until_s):
            return now_s < until_s
        case _:
            return True


def end_from_reply(reply: Reply, *, organisation: OrganisationName | None) -> ClaimEnd:
    """Return the end of an attempt that a reply proves.

    Replies that are large or belong to no organisation are not stored.
    """
    match reply.outcome:
        case Ran():
            return EndedRan(reply=_recorded_reply(reply, organisation))
        case NotRun(reason=reason):
            return EndedNotRun(proof=reason)
        case Unknown(reason=reason):
            return EndedUnknown(reason=reason)


def _find_holder(key: ClaimKey, roster: Roster) -> Host | OwnerUnknown:
    holder = find_role_holder(roster, role_of(key.digest))
    return holder or OwnerUnknown(reason="this host's roster lists no host")


def _refuse(result: PeerResult) -> ClaimRefused:
    match result:
        case ClaimRunning():
            outcome = Unknown(
                reason="another attempt with this idempotency key is under way",
                retry_after_s=RUNNING_RETRY_AFTER_S,
            )
            return ClaimRefused(outcome=outcome, status=CONFLICT)
        case ClaimUnknown(reason=reason):
            return ClaimRefused(outcome=_unknown_not_repeated(reason), status=CONFLICT)
        case ClaimDiffers():
            mismatch = NotRun(
                reason="the idempotency key belongs to another method, path or body"
            )
            return ClaimRefused(outcome=mismatch, status=UNPROCESSABLE)
        case ClaimCrowded(reason=reason):
            no_room = NotRun(reason=reason, retry_after_s=FULL_MEMORY_RETRY_AFTER_S)
            return ClaimRefused(outcome=no_room, status=UNAVAILABLE)
        case ClaimMisdirected(reason=reason) | PeerFailed(reason=reason):
            return _refuse_undecided(reason)
        case _:
            return _refuse_undecided("the owner's answer was of an unexpected type")


def _refuse_undecided(reason: str) -> ClaimRefused:
    text = (
        "this attempt did not run; whether an earlier one with its idempotency "
        f"key did is unknown: the key's owner gave no decision: {reason}"
    )
    outcome = Unknown(reason=text, retry_after_s=OWNER_RETRY_AFTER_S)
    return ClaimRefused(outcome=outcome, status=UNAVAILABLE)


def _unknown_not_repeated(reason: str) -> Unknown:
    return Unknown(reason=f"unknown whether the request ran; not repeated: {reason}")


def _reply_from_record(recorded: RecordedReply, request_id: str) -> Reply:
    return Reply(
        request_id=request_id,
        status=recorded.status,
        outcome=Ran(),
        headers=recorded.headers,
        body=recorded.body,
    )


def _ran_without_reply(request_id: str) -> Reply:
    return Reply(
        request_id=request_id,
        status=CONFLICT,
        outcome=Ran(),
        headers=(Header(name="Content-Type", value="text/plain; charset=utf-8"),),
        body=b"the request ran once; its answer is not kept\n",
    )


def _recorded_reply(
    reply: Reply, organisation: OrganisationName | None
) -> RecordedReply | None:
    if organisation is None or len(reply.body) > MAX_RECORDED_REPLY_BYTES:
        return None
    return RecordedReply(status=reply.status, headers=reply.headers, body=reply.body)
