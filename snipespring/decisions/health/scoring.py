"""Score each server by a sequential test against the other servers of its service."""

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
    "failure_ratio_in_service",
    "log_likelihood_ratio",
    "score_servers",
    "sum_tallies",
    "unhealthy_failure_ratio",
]

RECENT_HALF_LIFE_S = 1.0
PAST_HALF_LIFE_S = 300.0
DURATION_HALF_LIFE_S = 10.0
MAX_MEDIAN_FAILURE_RATIO = 0.05  # above this, all scores of the service are reset
MAX_PAST_FAILURE_RATIO = 0.1
BASELINE_PRIOR_ATTEMPTS = 20.0
MEDIAN_PRIOR_ATTEMPTS = 2.0
PAST_PRIOR_ATTEMPTS = 500.0
# From the bucket of the median duration to the first bucket that counts as too slow.
SLOW_OFFSET_BUCKETS = 6
MIN_SLOW_S = 0.025
MIN_SLOW_BUCKET = bucket_of(MIN_SLOW_S)
MIN_DURATIONS = 20.0  # with fewer, the limit for slow answers does not change
SCORE_CAP_RATIO = 1.5  # the maximum score in multiples of the ejection score
NO_TALLIES: Map[HostId, Tally] = Map()


@frozen(kw_only=True)
class _ServiceTotals:
    recent: Tally
    fresh: Tally
    median_failure_ratio: float


def score_servers(
    pool: EvidencePool, policy: HealthPolicy, now_s: float
) -> EvidencePool:
    """Return the pool with all fresh evidence added to the scores.

    The score of a server is the log likelihood ratio of "unhealthy" against "as good
    as the others", summed since it was last 0 (Page's test).
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
    totals = _sum_service(compared.values())
    servers = {
        server_id: _score(server, totals, policy, compared=server_id in compared)
        for server_id, server in decayed.items()
    }
    return _update_slow_bucket(
        evolve(pool, servers=Map(servers), evaluated_s=now_s), elapsed_s
    )


def failure_ratio_in_service(pool: EvidencePool, policy: HealthPolicy) -> float:
    """Return the recent failure ratio of the servers in service."""
    recent = sum_tallies(
        server.recent
        for server_id, server in pool.servers.items()
        if server_id not in pool.entries
    )
    return _smoothed_failure_ratio(recent.good, recent.bad, policy)


def log_likelihood_ratio(tally: Tally, baseline: float, unhealthy: float) -> float:
    """Return the log likelihood ratio of the unhealthy ratio against the baseline."""
    bad = tally.bad * log(unhealthy / baseline)
    return bad + tally.good * log((1 - unhealthy) / (1 - baseline))


def unhealthy_failure_ratio(baseline: float, policy: HealthPolicy) -> float:
    """Return the failure ratio of an unhealthy server, which the test detects."""
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
    decay = 0.5**half_lives
    return Tally(
        good=old.good * decay + fresh.good, bad=max(0.0, old.bad * decay + fresh.bad)
    )


def _sum_service(servers: Iterable[PooledServer]) -> _ServiceTotals:
    servers = tuple(servers)
    ratios = [
        server.recent.bad
        / (server.recent.good + server.recent.bad + MEDIAN_PRIOR_ATTEMPTS)
        for server in servers
    ]
    return _ServiceTotals(
        recent=sum_tallies(server.recent for server in servers),
        fresh=sum_tallies(_fresh_total(server) for server in servers),
        median_failure_ratio=median(ratios) if ratios else 0.0,
    )


def _fresh_total(server: PooledServer) -> Tally:
    return sum_tallies(server.fresh.values())


def _score(
    server: PooledServer,
    totals: _ServiceTotals,
    policy: HealthPolicy,
    *,
    compared: bool,
) -> PooledServer:
    if not server.fresh and not server.suspicion:
        return server
    baseline = _baseline_failure_ratio(server, totals, policy)
    if not compared or totals.median_failure_ratio > MAX_MEDIAN_FAILURE_RATIO:
        return _reset_score(server, baseline, keep_fresh=not compared)
    score = server.score + log_likelihood_ratio(
        _fresh_total(server), baseline, unhealthy_failure_ratio(baseline, policy)
    )
    if score <= 0:
        return _reset_score(server, baseline, keep_fresh=False)
    return evolve(
        server,
        fresh=NO_TALLIES,
        suspicion=_merge_tallies(server.suspicion, server.fresh),
        score=min(score, policy.ejection_score * SCORE_CAP_RATIO),
        baseline_failure_ratio=baseline,
    )


def _reset_score(
    server: PooledServer, baseline: float, *, keep_fresh: bool
) -> PooledServer:
    return evolve(
        server,
        fresh=server.fresh if keep_fresh else NO_TALLIES,
        suspicion=NO_TALLIES,
        score=0.0,
        baseline_failure_ratio=baseline,
    )


def _baseline_failure_ratio(
    server: PooledServer, totals: _ServiceTotals, policy: HealthPolicy
) -> float:
    """Return the highest of the others' ratios and the server's own past ratio."""
    other_ratios = [
        _smoothed_failure_ratio(good, bad, policy)
        for good, bad in (
            _subtract(totals.recent, server.recent),
            _subtract(totals.fresh, _fresh_total(server)),
        )
    ]
    past_attempts = server.past.good + server.past.bad
    past_ratio = server.past.bad / (past_attempts + PAST_PRIOR_ATTEMPTS)
    return max(
        policy.min_baseline_failure_ratio,
        *other_ratios,
        min(past_ratio, MAX_PAST_FAILURE_RATIO),
    )


def _smoothed_failure_ratio(good: float, bad: float, policy: HealthPolicy) -> float:
    prior = BASELINE_PRIOR_ATTEMPTS * policy.min_baseline_failure_ratio
    return (bad + prior) / (good + bad + BASELINE_PRIOR_ATTEMPTS)


def _subtract(total: Tally, part: Tally) -> tuple[float, float]:
    return max(0.0, total.good - part.good), max(0.0, total.bad - part.bad)


def _merge_tallies(
    old: Map[HostId, Tally], new: Map[HostId, Tally]
) -> Map[HostId, Tally]:
    for host_id, tally in new.items():
        previous = old.get(host_id)
        old = old.set(host_id, sum_tallies((previous, tally)) if previous else tally)
    return old


def _update_slow_bucket(pool: EvidencePool, elapsed_s: float) -> EvidencePool:
    decay = 0.5 ** (elapsed_s / DURATION_HALF_LIFE_S)
    durations = tuple(count * decay for count in pool.durations)
    total = sum(durations)
    if total < MIN_DURATIONS:
        return evolve(pool, durations=durations)
    slow = max(_median_bucket(durations, total) + SLOW_OFFSET_BUCKETS, MIN_SLOW_BUCKET)
    return evolve(pool, durations=durations, slow_bucket=min(slow, LAST_BUCKET))


def _median_bucket(durations: tuple[float, ...], total: float) -> int:
    remaining = total / 2
    for bucket, count in enumerate(durations):
        remaining -= count
        if remaining <= 0:
            return bucket
    return LAST_BUCKET
