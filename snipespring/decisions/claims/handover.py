"""Hand the state of claims over to other hosts when a host stops."""

from immutables import Map

from ...records import (
    Claimed,
    ClaimFact,
    ClaimRecord,
    ClaimState,
    ClaimTable,
    EndedRan,
    EndedUnknown,
    Finished,
    Host,
    KeyDigest,
    OutcomeUnknown,
    Released,
    Roster,
)
from ..membership import find_role_holder
from .claim_table import has_room, look_up_claim, store_claim
from .constants import CLAIM_WINDOW_S
from .tenure import role_of

__all__ = ["collect_facts", "receive_fact"]

OWNER_STOPPED_REASON = "the key's owner stopped while the request was under way"


def collect_facts(
    table: ClaimTable, *, roster: Roster, own_host: Host, now_s: float, wall_s: float
) -> Map[Host, tuple[ClaimFact, ...]]:
    """Return, for each host that takes over keys, how the claims of its keys ended."""
    hosts = roster.hosts
    if own_host.host_id in hosts:
        hosts = hosts.delete(own_host.host_id)
    others = Roster(version=roster.version, hosts=hosts)
    facts: dict[Host, list[ClaimFact]] = {}
    for digest, claim in table.claims.items():
        fact = _make_fact(digest, claim, now_s, wall_s - now_s)
        successor = find_role_holder(others, role_of(digest))
        if fact is not None and successor is not None:
            facts.setdefault(successor, []).append(fact)
    return Map({host: tuple(host_facts) for host, host_facts in facts.items()})


def receive_fact(
    table: ClaimTable, fact: ClaimFact, *, now_s: float, wall_s: float
) -> ClaimTable:
    """Return the table with the reported end of a claim added.

    A fact never permits a request to run. Its age is computed from the wall clocks of
    both hosts, since the message may have been delayed in a socket.
    """
    match look_up_claim(table, fact.digest, now_s=now_s):
        case Claimed() | Finished() | OutcomeUnknown():
            return table
        case Released() | None:
            pass
    if not has_room(table, fact.organisation):
        return table
    age_s = max(0.0, wall_s - fact.ended_wall_s)
    if age_s >= CLAIM_WINDOW_S:
        return table
    state = _state_from_fact(fact, now_s - age_s)
    return store_claim(table, fact.digest, fact.organisation, state)


def _make_fact(
    digest: KeyDigest, claim: ClaimRecord, now_s: float, wall_offset_s: float
) -> ClaimFact | None:
    match claim.state:
        case Released():
            return None
        case Claimed(request=request, by=by):
            end: EndedRan | EndedUnknown = EndedUnknown(reason=OWNER_STOPPED_REASON)
            ended_s = now_s
        case Finished(request=request, by=by, reply=reply, ended_s=ended_s):
            end = EndedRan(reply=reply)
        case OutcomeUnknown(request=request, by=by, reason=reason, ended_s=ended_s):
            end = EndedUnknown(reason=reason)
    return ClaimFact(
        organisation=claim.organisation,
        digest=digest,
        by=by,
        request=request,
        end=end,
        ended_wall_s=ended_s + wall_offset_s,
    )


def _state_from_fact(fact: ClaimFact, ended_s: float) -> ClaimState:
    by, request = fact.by, fact.request
    match fact.end:
        case EndedRan(reply=reply):
            return Finished(by=by, request=request, reply=reply, ended_s=ended_s)
        case EndedUnknown(reason=reason):
            return OutcomeUnknown(
                by=by, request=request, reason=reason, ended_s=ended_s
            )
