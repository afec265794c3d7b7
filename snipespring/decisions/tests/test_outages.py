from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.outages import (
    extend_span,
    find_recovery_s,
    record_relayed_reach,
    shortest_outage_s,
)
from snipespring.records import AvailableSpan, Confirmation, StoreRelay

OUTAGE_S = 3.0


def span_of(*times_s: float) -> AvailableSpan | None:
    span = None
    for answered_s in times_s:
        span = extend_span(span, answered_s, outage_s=OUTAGE_S)
    return span


def recovery_s(*spans: AvailableSpan | None) -> float | None:
    return find_recovery_s(spans, outage_s=OUTAGE_S)


def test_entries_can_lapse_only_after_two_heartbeats_without_the_store() -> None:
    assert shortest_outage_s(1.5) == 3.0


def test_failed_calls_for_less_than_an_outage_are_none() -> None:
    assert recovery_s(span_of(0.0, 1.0, 3.9, 6.8)) == 0.0


def test_the_store_recovers_with_the_first_answer_after_an_outage() -> None:
    assert recovery_s(span_of(0.0, 1.0, 4.0, 5.0)) == 4.0
    assert recovery_s(None, span_of()) is None


def test_a_long_watch_is_no_outage_while_probes_are_answered() -> None:
    watch = span_of(0.0, 20.0)
    probes = span_of(*(number / 2 for number in range(40)))
    assert recovery_s(watch, probes) == 0.0


def test_another_host_that_reaches_the_store_takes_over_without_an_outage() -> None:
    first, second = span_of(0.0, 2.0, 4.0), span_of(6.5, 8.0)
    assert recovery_s(second, first) == 0.0


def test_relayed_reach_that_jumps_is_an_outage() -> None:
    relay = StoreRelay()
    for sent_s, age_s in ((10.0, 0.5), (10.2, 0.7), (12.0, 2.5), (13.0, 0.2)):
        confirmation = Confirmation(version=1, age_s=9.0, reached_age_s=age_s)
        relay = record_relayed_reach(
            relay, confirmation, sent_s=sent_s, outage_s=OUTAGE_S
        )
    assert relay.available == AvailableSpan(since_s=12.8, until_s=12.8)
    unchanged = record_relayed_reach(relay, None, sent_s=14.0, outage_s=OUTAGE_S)
    assert unchanged is relay


answer_times = st.lists(st.floats(0.0, 30.0), max_size=12).map(sorted)


@given(callers=st.lists(answer_times, min_size=1, max_size=3))
def test_recovery_is_never_taken_for_earlier_than_the_end_of_the_last_outage(
    callers: list[list[float]],
) -> None:
    times_s = sorted(time_s for caller in callers for time_s in caller)
    expected = span_of(*times_s)
    found = recovery_s(*(span_of(*caller) for caller in callers))
    if expected is None:
        assert found is None
    else:
        assert found is not None
        assert expected.since_s <= found <= expected.until_s
