"""Count false ejections in virtual hours of healthy and of overloaded service."""

from math import erf, log, sqrt

import numpy as np
from attrs import frozen

from snipespring.decisions.health import add_report, create_pool, evaluate_pool
from snipespring.records import (
    DomainName,
    EvidenceReport,
    Histogram,
    HostId,
    Incarnation,
    OutcomeCounts,
    ServerReport,
    ServiceRule,
    Tenure,
)

from .detection_cases import (
    SERVICE,
    ConsecutiveFailures,
    WindowShare,
    make_server_ids,
)
from .detection_fleet import (
    BACKGROUND_ERROR_RATIO,
    HOSTS,
    MEDIAN_WORK_S,
    RATE_PER_SERVER_PER_S,
    WORK_SIGMA,
)

__all__ = [
    "Healthy",
    "Overloaded",
    "Condition",
    "count_local_ejections",
    "count_pooled_ejections",
]

REPORTER_COUNT = 3
REPORT_INTERVAL_S = 1.0
SLOWDOWN_PERIOD_S = 60
TIMEOUT_S = 0.5
HISTOGRAM_BUCKETS = 56
MAX_SLOWDOWN = 15.0
MAX_UNEVENNESS = 1.25


@frozen(kw_only=True)
class Healthy:
    """Serve well, with background errors."""


@frozen(kw_only=True)
class Overloaded:
    """Slow down together, by a factor that jumps every minute."""


Condition = Healthy | Overloaded


def count_pooled_ejections(
    *, servers: int, rule: ServiceRule, condition: Condition, hours: float, seed: int
) -> int:
    """Return the ejections that the pooled test makes in virtual hours."""
    rng = np.random.default_rng(seed)
    ids = make_server_ids(servers)
    pool = create_pool(Tenure(version=1, lease_until_s=float("inf")), 0.0)
    answered = np.zeros((REPORTER_COUNT, servers, HISTOGRAM_BUCKETS), dtype=int)
    late = np.zeros_like(answered)
    errors = np.zeros((REPORTER_COUNT, servers), dtype=int)
    ejections = 0
    for period in range(int(hours * 3600 / REPORT_INTERVAL_S)):
        if period % SLOWDOWN_PERIOD_S == 0:
            medians = _draw_medians(rng, servers, condition)
        _count_outcomes(rng, medians, answered, late, errors)
        now_s = period * REPORT_INTERVAL_S
        for reporter in range(REPORTER_COUNT):
            report = EvidenceReport(
                sender=HostId(f"host-{reporter}"),
                incarnation=Incarnation("1"),
                sequence=period + 1,
                domain=DomainName(f"domain-{reporter}"),
                service=SERVICE,
                servers=tuple(
                    ServerReport(
                        server=ids[index],
                        counts=OutcomeCounts(
                            answered=_make_histogram(answered[reporter, index]),
                            late=_make_histogram(late[reporter, index]),
                            errors=int(errors[reporter, index]),
                        ),
                        under_way=Histogram(),
                    )
                    for index in range(servers)
                ),
            )
            pool = add_report(pool, report, now_s)
        held = frozenset(pool.entries)
        pool = evaluate_pool(pool, rule, frozenset(ids), now_s=now_s)
        ejections += len(frozenset(pool.entries) - held)
    return ejections


def count_local_ejections(
    strategy: ConsecutiveFailures | WindowShare,
    *,
    servers: int,
    condition: Condition,
    hours: float,
    seed: int,
) -> int:
    """Return the ejections that hosts on their own make in virtual hours."""
    rng = np.random.default_rng(seed)
    minutes = int(hours * 60)
    shares = np.array(
        [
            _list_failure_ratios(_draw_medians(rng, servers, condition))
            for _ in range(minutes)
        ]
    )
    total = 0
    for server in range(servers):
        for _ in range(HOSTS):
            total += _count_server_ejections(rng, strategy, shares[:, server])
    return total


def _count_server_ejections(
    rng: np.random.Generator,
    strategy: ConsecutiveFailures | WindowShare,
    failure_ratios: "np.ndarray[tuple[int, ...], np.dtype[np.float64]]",
) -> int:
    rate = RATE_PER_SERVER_PER_S / HOSTS
    match strategy:
        case ConsecutiveFailures(limit=limit):
            counts = rng.poisson(rate * SLOWDOWN_PERIOD_S, len(failure_ratios))
            bad = rng.random(counts.sum()) < np.repeat(failure_ratios, counts)
            edges = np.flatnonzero(np.diff(np.concatenate(([0], bad, [0]))))
            return int(((edges[1::2] - edges[::2]) // limit).sum())
        case WindowShare(share=share, window_s=window_s, min_attempts=least):
            per_window = np.repeat(failure_ratios, int(SLOWDOWN_PERIOD_S / window_s))
            attempts = rng.poisson(rate * window_s, len(per_window))
            failed = rng.binomial(attempts, per_window)
            return int(((attempts >= least) & (failed >= share * attempts)).sum())


def _draw_medians(
    rng: np.random.Generator, servers: int, condition: Condition
) -> "np.ndarray[tuple[int, ...], np.dtype[np.float64]]":
    match condition:
        case Healthy():
            return np.full(servers, MEDIAN_WORK_S)
        case Overloaded():
            slowdown = np.exp(rng.uniform(0, log(MAX_SLOWDOWN)))
            uneven = np.exp(
                rng.uniform(-log(MAX_UNEVENNESS), log(MAX_UNEVENNESS), servers)
            )
            return np.asarray(MEDIAN_WORK_S * slowdown * uneven)


def _list_failure_ratios(
    medians: "np.ndarray[tuple[int, ...], np.dtype[np.float64]]",
) -> list[float]:
    late = [
        (1 - erf(log(TIMEOUT_S / median) / WORK_SIGMA / sqrt(2))) / 2
        for median in medians
    ]
    return [share + BACKGROUND_ERROR_RATIO for share in late]


def _count_outcomes(
    rng: np.random.Generator,
    medians: "np.ndarray[tuple[int, ...], np.dtype[np.float64]]",
    answered: "np.ndarray[tuple[int, ...], np.dtype[np.int64]]",
    late: "np.ndarray[tuple[int, ...], np.dtype[np.int64]]",
    errors: "np.ndarray[tuple[int, ...], np.dtype[np.int64]]",
) -> None:
    servers = len(medians)
    count = rng.poisson(RATE_PER_SERVER_PER_S * REPORT_INTERVAL_S * servers)
    server = rng.integers(0, servers, count)
    reporter = rng.integers(0, REPORTER_COUNT, count)
    work_s = medians[server] * rng.lognormal(0, WORK_SIGMA, count)
    failed = rng.random(count) < BACKGROUND_ERROR_RATIO
    in_time = work_s < TIMEOUT_S
    steps = np.log(np.minimum(work_s, TIMEOUT_S) / 0.001) / log(1.25)
    bucket = np.clip(steps.astype(int), 0, HISTOGRAM_BUCKETS - 1)
    good = in_time & ~failed
    np.add.at(answered, (reporter[good], server[good], bucket[good]), 1)
    np.add.at(late, (reporter[~in_time], server[~in_time], bucket[~in_time]), 1)
    wrong = in_time & failed
    np.add.at(errors, (reporter[wrong], server[wrong]), 1)


def _make_histogram(
    counts: "np.ndarray[tuple[int, ...], np.dtype[np.int64]]",
) -> Histogram:
    return Histogram(counts=tuple(counts.tolist()))
