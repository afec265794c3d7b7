"""Add reports to the pool of a service as differences from earlier reports."""

from attrs import evolve
from immutables import Map

from ...records import (
    EvidencePool,
    EvidenceReport,
    Histogram,
    HostId,
    OutcomeCounts,
    PooledServer,
    Reporter,
    ServerId,
    ServerReport,
    Tally,
    Tenure,
)
from .histograms import LAST_BUCKET, bucket_of, count_at_least, total_count

__all__ = ["add_report", "count_bad", "count_good", "create_pool"]

INITIAL_SLOW_S = 1.0  # initially, longer answers count as bad
NO_COUNTS = OutcomeCounts()
NO_TALLY = Tally()
NO_SERVERS: Map[ServerId, ServerReport] = Map()
NEW_SERVER = PooledServer()
NO_DURATIONS = (0.0,) * (LAST_BUCKET + 1)


def create_pool(tenure: Tenure, now_s: float) -> EvidencePool:
    """Return the pool of a service before any evidence."""
    return EvidencePool(
        tenure=tenure,
        durations=NO_DURATIONS,
        slow_bucket=bucket_of(INITIAL_SLOW_S),
        evaluated_s=now_s,
    )


def add_report(
    pool: EvidencePool, report: EvidenceReport, now_s: float
) -> EvidencePool:
    """Return the pool with what is new in a report; a repeat changes nothing.

    The first report of an incarnation must be complete and only sets the baseline
    for the next report.
    """
    previous = pool.reporters.get(report.sender)
    if previous is not None and not _is_newer(report, previous):
        return pool
    known = previous is not None and previous.incarnation == report.incarnation
    if not known and not report.complete:
        return pool
    base = previous.servers if previous is not None and known else NO_SERVERS
    reporter = Reporter(
        incarnation=report.incarnation,
        sequence=report.sequence,
        domain=report.domain,
        received_s=now_s,
        servers=base.update({entry.server: entry for entry in report.servers}),
    )
    pool = evolve(pool, reporters=pool.reporters.set(report.sender, reporter))
    if previous is None or not known:
        return pool
    for entry in report.servers:
        pool = _add_server_report(pool, report.sender, previous, entry, now_s)
    return pool


def count_bad(entry: ServerReport, slow_bucket: int) -> int:
    """Return how many attempts failed, took too long or are overdue."""
    counts = entry.counts
    return (
        counts.errors
        + counts.broken
        + counts.unreachable
        + count_at_least(counts.answered, slow_bucket)
        + count_at_least(counts.late, slow_bucket)
        + count_at_least(entry.under_way, slow_bucket)
    )


def count_good(entry: ServerReport, slow_bucket: int) -> int:
    """Return how many attempts got a good answer in time."""
    answered = entry.counts.answered
    return total_count(answered) - count_at_least(answered, slow_bucket)


def _is_newer(report: EvidenceReport, previous: Reporter) -> bool:
    return (report.incarnation, report.sequence) > (
        previous.incarnation,
        previous.sequence,
    )


def _add_server_report(
    pool: EvidencePool,
    sender: HostId,
    previous: Reporter,
    entry: ServerReport,
    now_s: float,
) -> EvidencePool:
    old = previous.servers.get(entry.server)
    if old is None:
        old = _make_empty_report(entry.server)
    slow = pool.slow_bucket
    bad = count_bad(entry, slow) - count_bad(old, slow)
    good = count_good(entry, slow) - count_good(old, slow)
    if good == 0 and bad == 0:
        return pool
    server = pool.servers.get(entry.server, NEW_SERVER)
    tally = server.fresh.get(sender, NO_TALLY)
    tally = Tally(good=tally.good + good, bad=tally.bad + bad)
    is_unreachable = entry.counts.unreachable > old.counts.unreachable
    server = evolve(
        server,
        fresh=server.fresh.set(sender, tally),
        unreachable_s=now_s if is_unreachable else server.unreachable_s,
        answered_s=now_s if good > 0 else server.answered_s,
    )
    return evolve(
        pool,
        servers=pool.servers.set(entry.server, server),
        durations=_add_durations(pool.durations, old, entry),
    )


def _make_empty_report(server: ServerId) -> ServerReport:
    return ServerReport(server=server, counts=NO_COUNTS, under_way=Histogram())


def _add_durations(
    durations: tuple[float, ...], old: ServerReport, new: ServerReport
) -> tuple[float, ...]:
    total = list(durations)
    answered = new.counts.answered
    for index, count in enumerate(answered.counts, start=answered.first):
        total[index] += count
    answered = old.counts.answered
    for index, count in enumerate(answered.counts, start=answered.first):
        total[index] -= count
    return tuple(total)
