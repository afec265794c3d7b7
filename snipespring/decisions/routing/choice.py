"""Choose a backend server for one attempt."""

from collections.abc import Callable
from math import inf
from random import Random

from attrs import frozen

from ...records import (
    Placement,
    RecentOutcomes,
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
from .trials import draw_trial
from .warmup import find_turn_s, is_cold, is_new_cold

__all__ = [
    "Chosen",
    "NoServer",
    "ServersBusy",
    "choose_server",
    "count_server_uses",
]

RAMP_DURATION_S = 10.0
RAMP_START_SHARE = 0.1
HEALTHY = ServerHealthy()
NO_OUTCOMES = RecentOutcomes()
# A failed request is lost if it may not run again, so its risk limit is lower.
MAX_RISK_NON_REPEATABLE = 0.2
MAX_RISK_REPEATABLE = 0.4
# Share of the servers that may be avoided for their risk: enough for gray (partly
# failing) servers and for healthy ones with a single failure by chance.
MAX_AVOIDED_SHARE = 0.7
# Requests that queue at each available server of the best rank before an avoided
# server is used.
SPILLOVER_QUEUE = 4


@frozen(kw_only=True)
class Chosen:
    """Represent the choice of a server for an attempt."""

    server: ServerId


@frozen(kw_only=True)
class NoServer:
    """Represent that no server may receive the attempt, and why."""

    reason: str


@frozen(kw_only=True)
class ServersBusy:
    """Represent that servers are eligible but all of them are busy.

    `free_at_s` is the earliest time at which a server may be available; it is
    infinite if none becomes available before one of this host's attempts ends. If it
    `waits_for_attempts`, the end of an attempt may free a server earlier.
    """

    free_at_s: float
    waits_for_attempts: bool = True


@frozen(kw_only=True)
class _Preferred:
    """Use the server in preference to others."""


@frozen(kw_only=True)
class _Fallback:
    """Use the server only if no server of lower rank is available."""

    rank: int


@frozen(kw_only=True)
class _Excluded:
    """Send no attempt to the server."""


_ServerUse = _Preferred | _Fallback | _Excluded

EXCLUDED = _Excluded()
PREFERRED = _Preferred()
RAMPING = _Fallback(rank=1)
COLD = _Fallback(rank=2)
AVOIDED = _Fallback(rank=3)
OVER_TRIAL_SHARE = _Fallback(rank=4)


@frozen(kw_only=True)
class _Candidate:
    """Represent an eligible server; the lowest rank is used first."""

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
    outcomes: RecentOutcomes = NO_OUTCOMES,
    floor_share: float = 0.0,
) -> Chosen | NoServer | ServersBusy:
    """Return the least busy server, or an avoided one that is due for a trial.

    Servers of the attempt's failure domain are preferred, fallbacks are used last.
    Cold servers get what warm ones have no free slots for.
    While the service is failing by its `outcomes`, `floor_share` of its servers are
    used.
    """
    service = service_load_of(loads, subset.service)
    if service.in_flight + 1 > service.limit:
        return ServersBusy(free_at_s=inf)
    candidates = _rank_members(subset, loads, states, placement, now_s, rng)
    if not candidates:
        return NoServer(
            reason="every server is ejected, leaving, on trial or already tried"
        )
    available = [
        candidate for candidate in candidates if candidate.available_at_s <= now_s
    ]
    if not available:
        times_s = [candidate.available_at_s for candidate in candidates]
        return ServersBusy(free_at_s=min(times_s), waits_for_attempts=inf in times_s)
    avoided = [
        candidate.member for candidate in available if candidate.rank == AVOIDED.rank
    ]
    trial = draw_trial(
        [member.rule.server for member in avoided],
        states,
        outcomes,
        usable=len(available) - len(avoided),
        floor_share=floor_share,
        now_s=now_s,
        rng=rng,
    )
    if trial is not None:
        return Chosen(server=trial)
    new_cold = [
        candidate.member
        for candidate in available
        if candidate.rank == COLD.rank and is_new_cold(candidate.member, now_s)
    ]
    if new_cold:
        return Chosen(server=rng.choice(new_cold).rule.server)
    mean_others = min(
        subset.slots, mean_busy_of_others(loads, _list_servers(subset), now_s)
    )

    def busy_slots(member: SubsetMember) -> float:
        return estimate_busy_slots(
            load_of(loads, member.rule.server), mean_others, now_s
        )

    lowest_rank = min(candidate.rank for candidate in available)
    members = [
        candidate.member for candidate in available if candidate.rank == lowest_rank
    ]
    best = _least_busy(members, placement, busy_slots, subset.slots, rng)
    cold = [candidate.member for candidate in available if candidate.rank == COLD.rank]
    if cold and busy_slots(best) >= subset.slots:
        best = _least_busy(cold, placement, busy_slots, subset.slots, rng)
    if busy_slots(best) >= subset.slots + SPILLOVER_QUEUE:
        best = _least_risky(avoided, states, now_s) or best
    return Chosen(server=best.rule.server)


def count_server_uses(
    subset: ServerSubset,
    loads: ServerLoads,
    states: ServerStates,
    placement: Placement,
    *,
    now_s: float,
    rng: Random,
) -> dict[str, int]:
    """Return how many servers an attempt may use now, by preference or obstacle."""
    risky = _list_risky(subset, states, placement, now_s)
    counts: dict[str, int] = {}
    for member in subset.members:
        load = load_of(loads, member.rule.server)
        use = _decide_use(member, loads, states, placement, now_s, rng, risky)
        name = _describe_use(use, load, subset.in_flight_cap, now_s)
        counts[name] = counts.get(name, 0) + 1
    return counts


def _describe_use(
    use: _ServerUse, load: ServerLoad, in_flight_cap: int, now_s: float
) -> str:
    if isinstance(use, _Excluded):
        return "excluded"
    if load.drain is not None or load.is_leaving:
        return "draining"
    if max(load.backoff_until_s, load.pause_until_s) > now_s:
        return "backing_off"
    if load.in_flight >= in_flight_cap:
        return "full"
    if load.limit is not None and load.limit.next_at_s > now_s:
        return "limited"
    if use == COLD:
        return "cold"
    match use:
        case _Preferred():
            return "preferred"
        case _Fallback() if use == AVOIDED:
            return "avoided"
        case _:
            return "ramping"


def _rank_members(
    subset: ServerSubset,
    loads: ServerLoads,
    states: ServerStates,
    placement: Placement,
    now_s: float,
    rng: Random,
) -> list[_Candidate]:
    """Return the servers that an attempt may use now or later."""
    risky = _list_risky(subset, states, placement, now_s)
    candidates = []
    for member in subset.members:
        load = load_of(loads, member.rule.server)
        if member.rule.server in placement.excluded or load.is_leaving:
            continue
        rank = _rank_of(member, loads, states, placement, now_s, rng, risky)
        if rank is None:
            continue
        room_at_s = _available_at_s(load, subset.in_flight_cap, now_s)
        if load.warmup is not None and is_cold(member.rule, load, now_s):
            # A server that becomes warm between two turns is available then.
            turn_s = min(find_turn_s(load.warmup, now_s), member.rule.warm_at_s)
            room_at_s = max(room_at_s, turn_s)
        candidates.append(
            _Candidate(member=member, rank=rank, available_at_s=room_at_s)
        )
    return candidates


def _list_servers(subset: ServerSubset) -> list[ServerId]:
    return [member.rule.server for member in subset.members]


def _available_at_s(load: ServerLoad, cap: int, now_s: float) -> float:
    """Return when the server is available if none of our attempts ends before."""
    if load.drain is not None:
        check_at_s = max(load.backoff_until_s, drain_check_at_s(load.drain))
        return inf if load.in_flight else max(check_at_s, load.pause_until_s)
    if load.in_flight >= cap:
        return inf
    limited_until_s = 0.0 if load.limit is None else load.limit.next_at_s
    return max(now_s, load.backoff_until_s, load.pause_until_s, limited_until_s)


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
        case ServerHealthy() | ServerSuspected() if is_cold(
            member.rule, load_of(loads, server), now_s
        ):
            return COLD
        case ServerHealthy() | ServerSuspected():
            ramp_start_s = max(member.since_s, load_of(loads, server).ramp_from_s)
            return (
                PREFERRED
                if _is_selected(_ramp_share(ramp_start_s, now_s), rng)
                else RAMPING
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


def _ramp_share(ramp_start_s: float, now_s: float) -> float:
    if ramp_start_s <= 0.0:
        return 1.0
    return min(
        1.0,
        RAMP_START_SHARE
        + (1.0 - RAMP_START_SHARE) * (now_s - ramp_start_s) / RAMP_DURATION_S,
    )


def _is_selected(share: float, rng: Random) -> bool:
    return share >= 1.0 or rng.random() < share


def _least_busy(
    members: list[SubsetMember],
    placement: Placement,
    busy_slots: Callable[[SubsetMember], float],
    slots: int,
    rng: Random,
) -> SubsetMember:
    """Return the least busy server, one of the same domain if its queue permits."""
    max_busy = slots - 1 + placement.local_queue_margin
    near = [
        member
        for member in members
        if member.rule.domain == placement.domain and busy_slots(member) <= max_busy
    ]
    return min(near or members, key=lambda member: (busy_slots(member), rng.random()))


def _least_risky(
    members: list[SubsetMember], states: ServerStates, now_s: float
) -> SubsetMember | None:
    return min(
        members,
        key=lambda member: risk_of(states, member.rule.server, now_s=now_s),
        default=None,
    )
