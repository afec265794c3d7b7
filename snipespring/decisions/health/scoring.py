"""Score each server by a sequential test against the rest of its service."""

from collections.abc import Iterable
from math import log
from statistics import median

from attrs import evolve, frozen
from immutables import Map

from ...records import (
    EvidencePool,
    HealthPolicy,
    HostId,
    PooledServer,
    Tally,
)
from .histograms import LAST_BUCKET, bucket_of

__all__ = [
    "log_likelihood_ratio",
    "score_servers",
    "failure_ratio_in_service",
    "unhealthy_failure_ratio",
    "sum_tallies",
]

RECENT_HALF_LIFE_S = 1.0
PAST_HALF_LIFE_S = 300.0
DURATION_HALF_LIFE_S = 10.0
MAX_MEDIAN_FAILURE_RATIO = 0.05
MAX_PAST_FAILURE_RATIO = 0.1
BASELINE_PRIOR_ATTEMPTS = 20.0
MEDIAN_PRIOR_ATTEMPTS = 2.0
PAST_PRIOR_ATTEMPTS = 500.0
SLOW_OFFSET_BUCKETS = 6
MIN_SLOW_S = 0.025
MIN_SLOW_BUCKET = bucket_of(MIN_SLOW_S)
MIN_DURATIONS = 20.0
SCORE_CAP_RATIO = 1.5
NO_TALLIES: Map[HostId, Tally] = Map()


@frozen(kw_only=True)
class _ServiceTotals:
    recent: Tally
    fresh: Tally
    median_failure_ratio: float


def score_servers(
    pool: EvidencePool, policy: HealthPolicy, now_s: float
) -> EvidencePool:
    """Return the pool with all fresh evidence taken into the scores.

    The score of a server is the log likelihood ratio of sick against as good
    as the others, summed since it was last 0 (Page's test).
    """
    elapsed_s = max(0.0, now_s - pool.evaluated_s)
    decayed = {
        server_id: _decay(server, elapsed_s)
        for server_id, server in pool.servers.items()
    }
    compared = {
        server_id: server
        for server_id, server in decayed.items()
        if server_id not in pool.entries
    }
    rest = _sum_service(compared.values())
    servers = {
        server_id: _score(server, rest, policy, compared=server_id in compared)
        for server_id, server in decayed.items()
    }
    return _update_slow_bucket(
        evolve(pool, servers=Map(servers), evaluated_s=now_s), elapsed_s
    )


def failure_ratio_in_service(pool: EvidencePool, policy: HealthPolicy) -> float:
    """Return the recent share of bad attempts on servers that are in service."""
    recent = sum_tallies(
        server.recent
        for server_id, server in pool.servers.items()
        if server_id not in pool.entries
    )
    return _smoothed_failure_ratio(recent.good, recent.bad, policy)


def log_likelihood_ratio(tally: Tally, baseline: float, unhealthy: float) -> float:
    """Return the log likelihood ratio of a sick server's share against the base."""
    bad = tally.bad * log(unhealthy / baseline)
    return bad + tally.good * log((1 - unhealthy) / (1 - baseline))


def unhealthy_failure_ratio(baseline: float, policy: HealthPolicy) -> float:
    """Return the share of bad attempts that the test looks for."""
    odds = baseline / (1 - baseline) * policy.unhealthy_odds_ratio
    return max(policy.min_unhealthy_failure_ratio, odds / (1 + odds))


def sum_tallies(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies."""
    good = 0.0
    bad = 0.0
    for tally in tallies:
        good += tally.good
        bad += tally.bad
    return Tally(good=good, bad=bad)


def _decay(server: PooledServer, elapsed_s: float) -> PooledServer:
    fresh = _fresh_total(server)
    return evolve(
        server,
        recent=_blend(server.recent, fresh, elapsed_s / RECENT_HALF_LIFE_S),
        past=_blend(server.past, fresh, elapsed_s / PAST_HALF_LIFE_S),
    )


def _blend(old: Tally, fresh: Tally, half_lives: float) -> Tally:
    kept = 0.5**half_lives
    return Tally(
        good=old.good * kept + fresh.good, bad=max(0.0, old.bad * kept + fresh.bad)
    )


def _sum_service(servers: Iterable[PooledServer]) -> _ServiceTotals:
    servers = tuple(servers)
    shares = [
        server.recent.bad
        / (server.recent.good + server.recent.bad + MEDIAN_PRIOR_ATTEMPTS)
        for server in servers
    ]
    return _ServiceTotals(
        recent=sum_tallies(server.recent for server in servers),
        fresh=sum_tallies(_fresh_total(server) for server in servers),
        median_failure_ratio=median(shares) if shares else 0.0,
    )


def _fresh_total(server: PooledServer) -> Tally:
    return sum_tallies(server.fresh.values())


def _score(
    server: PooledServer, rest: _ServiceTotals, policy: HealthPolicy, *, compared: bool
) -> PooledServer:
    if not server.fresh and not server.suspicion:
        return server
    base = _baseline_failure_ratio(server, rest, policy)
    if not compared or rest.median_failure_ratio > MAX_MEDIAN_FAILURE_RATIO:
        return _reset_score(server, base, keep_fresh=not compared)
    score = server.score + log_likelihood_ratio(
        _fresh_total(server), base, unhealthy_failure_ratio(base, policy)
    )
    if score <= 0:
        return _reset_score(server, base, keep_fresh=False)
    return evolve(
        server,
        fresh=NO_TALLIES,
        suspicion=_merge_tallies(server.suspicion, server.fresh),
        score=min(score, policy.ejection_score * SCORE_CAP_RATIO),
        baseline_failure_ratio=base,
    )


def _reset_score(
    server: PooledServer, base: float, *, keep_fresh: bool
) -> PooledServer:
    return evolve(
        server,
        fresh=server.fresh if keep_fresh else NO_TALLIES,
        suspicion=NO_TALLIES,
        score=0.0,
        baseline_failure_ratio=base,
    )


def _baseline_failure_ratio(
    server: PooledServer, rest: _ServiceTotals, policy: HealthPolicy
) -> float:
    shares = [
        _smoothed_failure_ratio(good, bad, policy)
        for good, bad in (
            _subtract(rest.recent, server.recent),
            _subtract(rest.fresh, _fresh_total(server)),
        )
    ]
    seen = server.past.good + server.past.bad
    own = server.past.bad / (seen + PAST_PRIOR_ATTEMPTS)
    return max(
        policy.min_baseline_failure_ratio, *shares, min(own, MAX_PAST_FAILURE_RATIO)
    )


def _smoothed_failure_ratio(good: float, bad: float, policy: HealthPolicy) -> float:
    prior = BASELINE_PRIOR_ATTEMPTS * policy.min_baseline_failure_ratio
    return (bad + prior) / (good + bad + BASELINE_PRIOR_ATTEMPTS)


def _subtract(total: Tally, own: Tally) -> tuple[float, float]:
    return max(0.0, total.good - own.good), max(0.0, total.bad - own.bad)


def _merge_tallies(
    old: Map[HostId, Tally], new: Map[HostId, Tally]
) -> Map[HostId, Tally]:
    for host_id, tally in new.items():
        held = old.get(host_id)
        old = old.set(host_id, sum_tallies((held, tally)) if held else tally)
    return old


def _update_slow_bucket(pool: EvidencePool, elapsed_s: float) -> EvidencePool:
    kept = 0.5 ** (elapsed_s / DURATION_HALF_LIFE_S)
    durations = tuple(count * kept for count in pool.durations)
    total = sum(durations)
    if total < MIN_DURATIONS:
        return evolve(pool, durations=durations)
    slow = max(_median_bucket(durations, total) + SLOW_OFFSET_BUCKETS, MIN_SLOW_BUCKET)
    return evolve(pool, durations=durations, slow_bucket=min(slow, LAST_BUCKET))


def _median_bucket(durations: tuple[float, ...], total: float) -> int:
    left = total / 2
    for bucket, count in enumerate(durations):
        left -= count
        if left <= 0:
            return bucket
    return LAST_BUCKET
