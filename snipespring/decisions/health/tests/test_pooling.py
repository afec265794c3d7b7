from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.health import absorb_report, open_pool, record_end
from snipespring.decisions.health.histograms import (
    add_duration,
    bucket_of,
    bucket_start_s,
    count_from,
    total_of,
)
from snipespring.records import (
    Answered,
    AnswerLate,
    BackendResult,
    ConnectFailed,
    Evidence,
    EvidencePool,
    Histogram,
    OutcomeCounts,
    ShedByServer,
    Tenure,
)

from .builders import SERVERS, answers, make_report, with_errors

SERVER = SERVERS[0]


def new_pool() -> EvidencePool:
    return open_pool(Tenure(version=1, lease_until_s=1e9), 0.0)


def status(code: int) -> BackendResult:
    return Answered(status=code, headers=(), body=b"")


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 5)), min_size=1))
def test_repeated_and_overtaken_reports_add_nothing(
    steps: list[tuple[int, int]],
) -> None:
    good = bad = 0
    pool = absorb_report(new_pool(), make_report(1, 1, {SERVER: answers(0)}), 0.0)
    for sequence, (more_good, more_bad) in enumerate(steps, start=2):
        good, bad = good + more_good, bad + more_bad
        report = make_report(1, sequence, {SERVER: with_errors(answers(good), bad)})
        old = make_report(1, sequence - 1, {SERVER: with_errors(answers(0), 0)})
        for sent in (report, report, old):
            pool = absorb_report(pool, sent, 0.0)
    held = pool.servers.get(SERVER)
    tallies = list(held.fresh.values()) if held is not None else []
    assert sum(tally.good for tally in tallies) == good
    assert sum(tally.bad for tally in tallies) == bad


def test_first_report_only_sets_the_base() -> None:
    report = make_report(1, 7, {SERVER: with_errors(answers(100), 100)})
    assert not absorb_report(new_pool(), report, 0.0).servers


def test_partial_report_needs_a_base_and_keeps_the_rest() -> None:
    first = make_report(1, 1, {server: answers(5) for server in SERVERS})
    second = make_report(1, 2, {SERVER: answers(8)})
    second = evolve(second, complete=False)
    assert not absorb_report(new_pool(), second, 0.0).reporters
    pool = absorb_report(absorb_report(new_pool(), first, 0.0), second, 0.0)
    last = make_report(1, 3, {server: answers(9) for server in SERVERS})
    pool = absorb_report(pool, last, 0.0)
    totals = [sum(t.good for t in pool.servers[s].fresh.values()) for s in SERVERS]
    assert totals == [4] * len(SERVERS)


@given(st.lists(st.floats(0, 100), max_size=30), st.integers(0, 60))
def test_histogram_counts_what_a_list_would(durations_s: list[float], cut: int) -> None:
    hist = Histogram()
    for duration_s in durations_s:
        hist = add_duration(hist, duration_s)
    assert total_of(hist) == len(durations_s)
    buckets = [bucket_of(duration_s) for duration_s in durations_s]
    assert count_from(hist, cut) == sum(bucket >= cut for bucket in buckets)


@given(st.integers(0, 55))
def test_bucket_starts_where_it_says(bucket: int) -> None:
    assert bucket_of(bucket_start_s(bucket) * 1.01) == bucket


def test_only_the_servers_own_failures_count() -> None:
    results = (
        status(200),
        status(404),
        status(500),
        ShedByServer(retry_after_s=None),
        AnswerLate(waited_s=1.0),
        ConnectFailed(reason="refused"),
    )
    evidence = Evidence()
    for result in results:
        evidence = record_end(evidence, SERVER, "attempt", result, 0.0)
    one = Histogram(first=0, counts=(1,))
    assert evidence.by_server[SERVER].counts == OutcomeCounts(
        answered=one, late=one, errors=1, unreachable=1
    )
