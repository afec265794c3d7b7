from immutables import Map

from snipespring.decisions.health import record_end, record_start
from snipespring.decisions.tallies import OutcomeTally, count_outcomes, list_news
from snipespring.records import (
    Address,
    Answered,
    AnswerLate,
    BackendResult,
    Evidence,
    ServerId,
    ServiceName,
)

SERVER = ServerId(
    service=ServiceName("ledger"), address=Address(ip="10.0.0.1", port=80)
)
GOOD = Answered(status=200, headers=(), body=b"")
PATIENCE_S = 0.9


def record(held: Evidence, result: BackendResult, waited_s: float) -> Evidence:
    held = record_start(held, SERVER, "r-1", 10.0)
    return record_end(held, SERVER, "r-1", result, 10.0 + waited_s)


def news_of(before: Evidence, now: Evidence) -> list[tuple[ServerId, OutcomeTally]]:
    return list(
        list_news(count_outcomes(before), count_outcomes(now), lambda _: PATIENCE_S)
    )


def test_answer_that_was_hardly_waited_for_is_no_failure() -> None:
    held = record(Evidence(), GOOD, 0.3)
    short = record(held, AnswerLate(waited_s=0.4), 0.4)
    assert news_of(held, short) == [(SERVER, OutcomeTally(good=0, bad=0, unreached=0))]


def test_answer_that_never_came_is_a_failure() -> None:
    held = record(Evidence(), GOOD, 0.3)
    long = record(held, AnswerLate(waited_s=2.0), 2.0)
    assert news_of(held, long) == [(SERVER, OutcomeTally(good=0, bad=1, unreached=0))]


def test_outcomes_are_told_once() -> None:
    held = record(Evidence(), AnswerLate(waited_s=2.0), 2.0)
    assert news_of(held, held) == []
    assert list(list_news(Map(), count_outcomes(held), lambda _: 0.0)) == [
        (SERVER, OutcomeTally(good=0, bad=1, unreached=0))
    ]
