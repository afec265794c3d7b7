from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.health import add_report, create_pool, record_attempt_end
from snipespring.decisions.health.histograms import (
    add_duration,
    bucket_of,
    bucket_start_s,
    count_at_least,
    total_count,
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

from .builders import SERVERS, add_errors, count_answers, make_report

SERVER = SERVERS[0]


def make_pool() -> EvidencePool:
    return create_pool(Tenure(version=1, lease_until_s=1e9), 0.0)


def make_answer(code: int) -> BackendResult:
    return Answered(status=code, headers=(), body=b"")


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 5)), min_size=1))
def test_repeated_and_reordered_reports_add_nothing(
    steps: list[tuple[int, int]],
) -> None:
    good = bad = 0
    pool = add_report(make_pool(), make_report(1, 1, {SERVER: count_answers(0)}), 0.0)
    for sequence, (more_good, more_bad) in enumerate(steps, start=2):
        good, bad = good + more_good, bad + more_bad
        report = make_report(
            1, sequence, {SERVER: add_errors(count_answers(good), bad)}
        )
        old = make_report(1, sequence - 1, {SERVER: add_errors(count_answers(0), 0)})
        for sent in (report, report, old):
            pool = add_report(pool, sent, 0.0)
    held = pool.servers.get(SERVER)
    tallies = list(held.fresh.values()) if held is not None else []
    assert sum(tally.good for tally in tallies) == good
    assert sum(tally.bad for tally in tallies) == bad


def test_first_report_only_sets_baseline() -> None:
    report = make_report(1, 7, {SERVER: add_errors(count_answers(100), 100)})
    assert not add_report(make_pool(), report, 0.0).servers


def test_partial_report_needs_baseline_and_keeps_other_servers() -> None:
    first = make_report(1, 1, {server: count_answers(5) for server in SERVERS})
    second = make_report(1, 2, {SERVER: count_answers(8)})
    second = evolve(second, complete=False)
    assert not add_report(make_pool(), second, 0.0).reporters
    pool = add_report(add_report(make_pool(), first, 0.0), second, 0.0)
    last = make_report(1, 3, {server: count_answers(9) for server in SERVERS})
    pool = add_report(pool, last, 0.0)
    totals = [sum(t.good for t in pool.servers[s].fresh.values()) for s in SERVERS]
    assert totals == [4] * len(SERVERS)


@given(st.lists(st.floats(0, 100), max_size=30), st.integers(0, 60))
def test_histogram_counts_match_list_of_durations(
    durations_s: list[float], cut: int
) -> None:
    hist = Histogram()
    for duration_s in durations_s:
        hist = add_duration(hist, duration_s)
    assert total_count(hist) == len(durations_s)
    buckets = [bucket_of(duration_s) for duration_s in durations_s]
    assert count_at_least(hist, cut) == sum(bucket >= cut for bucket in buckets)


@given(st.integers(0, 55))
def test_bucket_start_lies_in_its_bucket(bucket: int) -> None:
    assert bucket_of(bucket_start_s(bucket) * 1.01) == bucket


def test_only_server_failures_are_counted() -> None:
    results = (
        make_answer(200),
        make_answer(404),
        make_answer(500),
        ShedByServer(retry_after_s=None),
        AnswerLate(waited_s=1.0),
        ConnectFailed(reason="refused"),
    )
    evidence = Evidence()
    for result in results:
        evidence = record_attempt_end(evidence, SERVER, "attempt", result, 0.0)
    one = Histogram(first=0, counts=(1,))
    assert evidence.by_server[SERVER].counts == OutcomeCounts(
        answered=one, late=one, errors=1, unreachable=1
    )
