"""Choose a backend server for one attempt."""

from collections.abc import Callable
from math import inf
from random import Random

from attrs import frozen

from ...records import (
    Placement,
    ServerAvoided,
    ServerEjected,
    ServerHealthy,
    ServerId,
    ServerLoad,
    ServerLoads,
    ServerOnTrial,
    ServerStates,
    ServerSubset,
    ServerSuspected,
    SubsetMember,
)
from ..suspicion import risk_of, select_riskiest
from .loads import (
    drain_check_at_s,
    estimate_busy_slots,
    is_avoided,
    load_of,
    mean_busy_of_others,
    service_load_of,
)

__all__ = ["Chosen", "NoServer", "ServersBusy", "choose_server"]

RAMP_DURATION_S = 10.0
RAMP_START_SHARE = 0.1
HEALTHY = ServerHealthy()
# A failed request that may run again is repeated; one that may not is lost.
MAX_RISK_NON_REPEATABLE = 0.2
MAX_RISK_REPEATABLE = 0.4
# Of the servers: the gray ones and those that failed once by chance.
MAX_AVOIDED_SHARE = 0.7
SPILLOVER_QUEUE = (
    4  # requests that wait at every trusted server before others are tried
)


@frozen(kw_only=True)
class Chosen:
    """Name the server that an attempt goes to."""

    server: ServerId


@frozen(kw_only=True)
class NoServer:
    """State why no server will take an attempt."""

    reason: str


@frozen(kw_only=True)
class ServersBusy:
    """State that servers exist but none has room; `free_at_s` is the earliest.

    It is infinite where only the end of an attempt of this host can give room.
    """

    free_at_s: float


@frozen(kw_only=True)
class _Preferred:
    """Use the server before others."""


@frozen(kw_only=True)
class _Fallback:
    """Use the server only if no preferred one has a free slot; lower goes first."""

    rank: int


@frozen(kw_only=True)
class _Excluded:
    """Send the server nothing."""


_ServerUse = _Preferred | _Fallback | _Excluded

EXCLUDED = _Excluded()
PREFERRED = _Preferred()
RAMPING = _Fallback(rank=1)
AVOIDED = _Fallback(rank=2)
OVER_TRIAL_SHARE = _Fallback(rank=3)


@frozen(kw_only=True)
class _Candidate:
    """Hold a server's rank, lower goes first, and when it has room."""

    member: SubsetMember
    rank: int
    available_at_s: float


def choose_server(
    subset: ServerSubset,
    loads: ServerLoads,
    states: ServerStates,
    placement: Placement,
    *,
    now_s: float,
    rng: Random,
) -> Chosen | NoServer | ServersBusy:
    """Return the least busy server, near ones first; spare ones last."""
    service = service_load_of(loads, subset.service)
    if service.in_flight + 1 > service.limit:
        return ServersBusy(free_at_s=inf)
    candidates = _rank_members(subset, loads, states, placement, now_s, rng)
    if not candidates:
        return NoServer(reason="every server is ejected, on trial or was tried")
    free = [one for one in candidates if one.available_at_s <= now_s]
    if not free:
        return ServersBusy(free_at_s=min(one.available_at_s for one in candidates))
    mean = min(subset.slots, mean_busy_of_others(loads, _list_servers(subset), now_s))

    def busy(member: SubsetMember) -> float:
        return estimate_busy_slots(load_of(loads, member.rule.server), mean, now_s)

    first = min(one.rank for one in free)
    members = [one.member for one in free if one.rank == first]
    best = _least_busy(members, placement, busy, subset.slots, rng)
    if busy(best) >= subset.slots + SPILLOVER_QUEUE:
        avoided = [one.member for one in free if one.rank == AVOIDED.rank]
        best = _least_risky(avoided, states, now_s) or best
    return Chosen(server=best.rule.server)


def _rank_members(
    subset: ServerSubset,
    loads: ServerLoads,
    states: ServerStates,
    placement: Placement,
    now_s: float,
    rng: Random,
) -> list[_Candidate]:
    """Return the servers that an attempt may use, now or once they have room."""
    risky = _list_risky(subset, states, placement, now_s)
    candidates = []
    for member in subset.members:
        if member.rule.server in placement.excluded:
            continue
        rank = _rank_of(member, loads, states, placement, now_s, rng, risky)
        if rank is None:
            continue
        load = load_of(loads, member.rule.server)
        room_at_s = _available_at_s(load, subset.in_flight_cap, now_s)
        candidates.append(
            _Candidate(member=member, rank=rank, available_at_s=room_at_s)
        )
    return candidates


def _list_servers(subset: ServerSubset) -> list[ServerId]:
    return [member.rule.server for member in subset.members]


def _available_at_s(load: ServerLoad, cap: int, now_s: float) -> float:
    """Return when the server has room without the end of one of our attempts."""
    if load.drain is not None:
        check_at_s = max(load.backoff_until_s, drain_check_at_s(load.drain))
        return inf if load.in_flight else check_at_s
    if load.in_flight >= cap:
        return inf
    return max(now_s, load.backoff_until_s)


def _rank_of(
    member: SubsetMember,
    loads: ServerLoads,
    states: ServerStates,
    placement: Placement,
    now_s: float,
    rng: Random,
    risky: frozenset[ServerId],
) -> int | None:
    match _decide_use(member, loads, states, placement, now_s, rng, risky):
        case _Preferred():
            return 0
        case _Fallback(rank=rank):
            return rank
        case _Excluded():
            return None


def _decide_use(
    member: SubsetMember,
    loads: ServerLoads,
    states: ServerStates,
    placement: Placement,
    now_s: float,
    rng: Random,
    risky: frozenset[ServerId],
) -> _ServerUse:
    server = member.rule.server
    if server in risky:
        return AVOIDED
    match states.by_server.get(server, HEALTHY):
        case ServerHealthy() | ServerSuspected() if is_avoided(
            load_of(loads, server), now_s, repeatable=placement.repeatable
        ):
            return AVOIDED
        case ServerHealthy() | ServerSuspected():
            from_s = max(member.since_s, load_of(loads, server).ramp_from_s)
            return (
                PREFERRED if _is_selected(_ramp_share(from_s, now_s), rng) else RAMPING
            )
        case ServerAvoided():
            return AVOIDED
        case ServerEjected(until_s=until_s) if now_s < until_s:
            return EXCLUDED
        case ServerEjected():
            return PREFERRED if _is_selected(RAMP_START_SHARE, rng) else RAMPING
        case ServerOnTrial(share=share):
            if not placement.repeatable:
                return EXCLUDED
            return PREFERRED if _is_selected(share, rng) else OVER_TRIAL_SHARE


def _list_risky(
    subset: ServerSubset, states: ServerStates, placement: Placement, now_s: float
) -> frozenset[ServerId]:
    limit = MAX_RISK_REPEATABLE if placement.repeatable else MAX_RISK_NON_REPEATABLE
    limits = {
        member.rule.server: limit
        + (
            placement.local_risk_margin
            if member.rule.domain == placement.domain
            else 0.0
        )
        for member in subset.members
    }
    risks = select_riskiest(limits, states, share=MAX_AVOIDED_SHARE, now_s=now_s)
    return frozenset(server for server, risk in risks.items() if risk > limits[server])


def _ramp_share(from_s: float, now_s: float) -> float:
    if from_s <= 0.0:
        return 1.0
    return min(
        1.0,
        RAMP_START_SHARE
        + (1.0 - RAMP_START_SHARE) * (now_s - from_s) / RAMP_DURATION_S,
    )


def _is_selected(share: float, rng: Random) -> bool:
    return share >= 1.0 or rng.random() < share


def _least_busy(
    members: list[SubsetMember],
    placement: Placement,
    busy: Callable[[SubsetMember], float],
    slots: int,
    rng: Random,
) -> SubsetMember:
    """Return the least busy server, a near one if a slot is free there."""
    most_busy = slots - 1 + placement.local_queue_margin
    near = [
        member
        for member in members
        if member.rule.domain == placement.domain and busy(member) <= most_busy
    ]
    return min(near or members, key=lambda member: (busy(member), rng.random()))


def _least_risky(
    members: list[SubsetMember], states: ServerStates, now_s: float
) -> SubsetMember | None:
    return min(
        members,
        key=lambda member: risk_of(states, member.rule.server, now_s=now_s),
        default=None,
    )
