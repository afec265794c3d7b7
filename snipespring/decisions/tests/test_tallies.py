from immutables import Map

from snipespring.decisions.health import record_attempt_end, record_attempt_start
from snipespring.decisions.tallies import (
    OutcomeTally,
    count_outcomes,
    list_new_outcomes,
)
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
FAILURE_TIMEOUT_S = 0.9


def record(evidence: Evidence, result: BackendResult, waited_s: float) -> Evidence:
    evidence = record_attempt_start(evidence, SERVER, "r-1", 10.0)
    return record_attempt_end(evidence, SERVER, "r-1", result, 10.0 + waited_s)


def new_outcomes(
    before: Evidence, now: Evidence
) -> list[tuple[ServerId, OutcomeTally]]:
    return list(
        list_new_outcomes(
            count_outcomes(before), count_outcomes(now), lambda _: FAILURE_TIMEOUT_S
        )
    )


def test_wait_below_failure_timeout_is_not_failure() -> None:
    held = record(Evidence(), GOOD, 0.3)
    short = record(held, AnswerLate(waited_s=0.4), 0.4)
    assert new_outcomes(held, short) == [
        (SERVER, OutcomeTally(good=0, bad=0, connect_failures=0))
    ]


def test_wait_beyond_failure_timeout_is_failure() -> None:
    held = record(Evidence(), GOOD, 0.3)
    long = record(held, AnswerLate(waited_s=2.0), 2.0)
    assert new_outcomes(held, long) == [
        (SERVER, OutcomeTally(good=0, bad=1, connect_failures=0))
    ]


def test_outcomes_are_listed_once() -> None:
    held = record(Evidence(), AnswerLate(waited_s=2.0), 2.0)
    assert new_outcomes(held, held) == []
    assert list(list_new_outcomes(Map(), count_outcomes(held), lambda _: 0.0)) == [
        (SERVER, OutcomeTally(good=0, bad=1, connect_failures=0))
    ]
