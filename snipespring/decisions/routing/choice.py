"""Choose a backend server for one attempt."""

from random import Random

from attrs import frozen

from ...records import (
    Placement,
    ServerAvoided,
    ServerEjected,
    ServerHealthy,
    ServerId,
    ServerLoads,
    ServerOnTrial,
    ServerStates,
    ServerSubset,
    SubsetMember,
)
from .loads import drain_check_at_s, estimate_busy, load_of

__all__ = ["Chosen", "NoServer", "choose_server"]

RAMP_S = 10.0
RAMP_START = 0.1
HEALTHY = ServerHealthy()


@frozen(kw_only=True)
class Chosen:
    """Name the server that an attempt goes to."""

    server: ServerId


@frozen(kw_only=True)
class NoServer:
    """State why no server can take an attempt."""

    reason: str


@frozen(kw_only=True)
class _Preferred:
    """Use the server before others."""


@frozen(kw_only=True)
class _Spare:
    """Use the server only if no preferred one has a free slot; lower goes first."""

    rank: int


@frozen(kw_only=True)
class _Barred:
    """Send the server nothing."""


_Use = _Preferred | _Spare | _Barred

BARRED = _Barred()
PREFERRED = _Preferred()
RAMPING = _Spare(rank=1)
AVOIDED = _Spare(rank=2)
BEYOND_TRIAL = _Spare(rank=3)


def choose_server(
    subset: ServerSubset,
    loads: ServerLoads,
    states: ServerStates,
    placement: Placement,
    *,
    now_s: float,
    rng: Random,
) -> Chosen | NoServer:
    """Return the less busy of two servers, near ones first; spare ones last."""
    ranked: dict[int, list[SubsetMember]] = {}
    for member in subset.members:
        if not _has_room(member, subset, loads, placement, now_s):
            continue
        match _use_of(member, loads, states, placement, now_s, rng):
            case _Preferred():
                ranked.setdefault(0, []).append(member)
            case _Spare(rank=rank):
                ranked.setdefault(rank, []).append(member)
            case _Barred():
                pass
    if not ranked:
        return NoServer(reason="no server has a free slot")
    pool = ranked[min(ranked)]
    near = [member for member in pool if member.rule.domain == placement.domain]
    return Chosen(server=_less_busy_of_two(near or pool, loads, now_s, rng))


def _has_room(
    member: SubsetMember,
    subset: ServerSubset,
    loads: ServerLoads,
    placement: Placement,
    now_s: float,
) -> bool:
    server = member.rule.server
    if server in placement.excluded:
        return False
    load = load_of(loads, server)
    if now_s < load.backoff_until_s:
        return False
    if load.drain is not None:
        return load.in_flight == 0 and now_s >= drain_check_at_s(load.drain)
    if load.in_flight >= subset.in_flight_cap:
        return False
    return estimate_busy(load, now_s) < subset.slots


def _use_of(
    member: SubsetMember,
    loads: ServerLoads,
    states: ServerStates,
    placement: Placement,
    now_s: float,
    rng: Random,
) -> _Use:
    server = member.rule.server
    match states.by_server.get(server, HEALTHY):
        case ServerHealthy():
            from_s = max(member.since_s, load_of(loads, server).ramp_from_s)
            return PREFERRED if _is_drawn(_ramp_share(from_s, now_s), rng) else RAMPING
        case ServerAvoided():
            return AVOIDED
        case ServerEjected():
            return BARRED
        case ServerOnTrial(share=share):
            if not placement.repeatable:
                return BARRED
            return PREFERRED if _is_drawn(share, rng) else BEYOND_TRIAL


def _ramp_share(from_s: float, now_s: float) -> float:
    if from_s <= 0.0:
        return 1.0
    return min(1.0, RAMP_START + (1.0 - RAMP_START) * (now_s - from_s) / RAMP_S)


def _is_drawn(share: float, rng: Random) -> bool:
    return share >= 1.0 or rng.random() < share


def _less_busy_of_two(
    pool: list[SubsetMember], loads: ServerLoads, now_s: float, rng: Random
) -> ServerId:
    pair = rng.sample(pool, min(2, len(pool)))
    servers = [member.rule.server for member in pair]
    return min(servers, key=lambda one: estimate_busy(load_of(loads, one), now_s))
