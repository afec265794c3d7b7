"""Hold this host's part of the requests that a cold server gets from all hosts.

Handles the load of servers that have just started, or that lost what they keep warm,
and that crash under more than a few requests a second while their service needs all its
servers. Each host has a turn for one request in an interval, and the turns of all hosts
together make up the rate. No message between hosts is needed, so that a host that is
cut off keeps to its part. A turn ends soon: if hosts could save unused turns, a burst
of requests would spend those of many hosts at once.
"""

from math import floor, sqrt

from attrs import evolve, frozen

from ...records import (
    ServerLoad,
    ServerLoads,
    ServerRule,
    ServerWarmup,
    SubsetMember,
)

__all__ = [
    "WarmupBounds",
    "begin_warmups",
    "cold_rate_per_s",
    "find_turn_s",
    "is_cold",
    "is_new_cold",
    "spend_turn",
]

# Share of a server's tolerance to use. The rest covers hosts that are not counted yet.
USED_SHARE = 0.75
# The mean rate stays this many standard deviations of a Poisson count below the bound.
DEVIATIONS = 4.0
# A turn is open for this long. In any second, the turns of 1.25 s can be spent.
TURN_S = 0.25
# A host that does not know the others assumes the largest fleet.
MAX_FLEET_HOSTS = 300
# A server that joins has to be used this soon, whether others have room or not.
NEW_SERVER_S = 4.0


@frozen(kw_only=True)
class WarmupBounds:
    """Bound the requests that a cold server gets in any second, from all hosts.

    It gets at most `overshoot` times the rate that it tolerates, plus `slack`.
    """

    overshoot: float
    slack: float


def cold_rate_per_s(tolerated_per_s: float, bounds: WarmupBounds) -> float:
    """Return the mean rate at which the fleet sends requests to a cold server."""
    bound = tolerated_per_s * bounds.overshoot + bounds.slack
    # The largest mean with mean + DEVIATIONS * sqrt(mean) <= bound.
    root = (sqrt(DEVIATIONS**2 + 4.0 * bound) - DEVIATIONS) / 2.0
    return min(USED_SHARE * tolerated_per_s, root**2 / (1.0 + TURN_S))


def is_cold(rule: ServerRule, load: ServerLoad, now_s: float) -> bool:
    """Return whether the server is cold and its service bounds cold servers."""
    return load.warmup is not None and now_s < rule.warm_at_s


def is_new_cold(member: SubsetMember, now_s: float) -> bool:
    """Return whether a cold server has just joined and has to be used."""
    return member.since_s > 0.0 and now_s < member.since_s + NEW_SERVER_S


def begin_warmups(
    loads: ServerLoads,
    *,
    members: tuple[SubsetMember, ...],
    rate_per_s: float,
    hosts: int | None,
    phase: float,
    now_s: float,
) -> ServerLoads:
    """Return the loads with a turn for each server that has become cold.

    Each gets `rate_per_s` requests from all hosts together. `hosts` is None if their
    number is not known. `phase` is a random number from 0 to 1, so that the first turn
    is at a random point of the interval, which differs by server and warm-up.
    """
    interval_s = max(1, hosts or MAX_FLEET_HOSTS) / rate_per_s
    by_server = loads.by_server
    for position, member in enumerate(members):
        rule = member.rule
        load = by_server.get(rule.server, ServerLoad())
        warmup = _warmup_of(
            rule, load, interval_s, (phase + position / len(members)) % 1.0, now_s
        )
        if warmup is not load.warmup:
            by_server = by_server.set(rule.server, evolve(load, warmup=warmup))
    return loads if by_server is loads.by_server else evolve(loads, by_server=by_server)


def find_turn_s(warmup: ServerWarmup, now_s: float) -> float:
    """Return `now_s` while this host's turn is open, else when the next one begins."""
    if now_s < warmup.next_at_s:
        return warmup.next_at_s
    passed = floor((now_s - warmup.next_at_s) / warmup.interval_s)
    began_s = warmup.next_at_s + passed * warmup.interval_s
    return now_s if now_s < began_s + TURN_S else began_s + warmup.interval_s


def spend_turn(warmup: ServerWarmup | None, *, now_s: float) -> ServerWarmup | None:
    """Return the turns after this host has sent a request."""
    if warmup is None or now_s >= warmup.warm_at_s:
        return warmup
    return evolve(warmup, next_at_s=now_s + warmup.interval_s)


def _warmup_of(
    rule: ServerRule,
    load: ServerLoad,
    interval_s: float,
    phase: float,
    now_s: float,
) -> ServerWarmup | None:
    if now_s >= rule.warm_at_s:
        return None
    known = load.warmup
    if known is not None and known.warm_at_s == rule.warm_at_s:
        return known
    if known is not None and now_s < known.warm_at_s:
        # The turns of a warm-up go on when it is extended.
        return evolve(known, warm_at_s=rule.warm_at_s, interval_s=interval_s)
    return ServerWarmup(
        warm_at_s=rule.warm_at_s,
        interval_s=interval_s,
        next_at_s=now_s + phase * interval_s,
    )
