from attrs import evolve

from standins.backend import BackendSettings, decisions
from standins.backend.records import (
    AnswerNever,
    AnswerWell,
    BackendState,
    Flap,
    Queued,
    Shed,
    Started,
    Work,
)

SETTINGS = BackendSettings(service="ledger", slots=1, queue=1)
STATE = BackendState(settings=SETTINGS, started_s=0.0)


def test_leaving_hands_the_slot_to_the_queue() -> None:
    first = decisions.admit(STATE, timeout_s=None)
    second = decisions.admit(first.state, timeout_s=None)
    third = decisions.admit(second.state, timeout_s=None)
    assert (first.answer, second.answer) == (Started(ticket=0), Queued(ticket=1))
    assert third.answer == Shed()
    left = decisions.leave(third.state, 0)
    assert left.answer == Started(ticket=1)
    assert (left.state.running, left.state.waiting) == (frozenset({1}), ())


def test_leaving_the_queue_grants_nothing() -> None:
    full = decisions.admit(decisions.admit(STATE, timeout_s=None).state, timeout_s=None)
    left = decisions.leave(full.state, 1)
    assert left.answer is None
    assert (left.state.running, left.state.waiting) == (frozenset({0}), ())


def test_expired_deadline_sheds_with_a_free_slot() -> None:
    assert decisions.admit(STATE, timeout_s=0.0).answer == Shed()


def test_cold_start_and_flap_follow_the_clock() -> None:
    work = Work(
        request_id="",
        idempotency_key="",
        method="GET",
        path="/",
        organisation="",
        body_sha256="",
    )
    cold = evolve(STATE, settings=evolve(SETTINGS, cold_start_s=10.0))
    holds = [decisions.begin_run(cold, work, now_s=t).answer.hold_s for t in (9, 10)]
    assert holds == [5 * SETTINGS.work_s, SETTINGS.work_s]
    flapping = decisions.set_mode(STATE, Flap(period_s=4.0), now_s=100.0).state
    endings = [
        decisions.begin_run(flapping, work, now_s=t).answer.ending
        for t in (100, 104, 108)
    ]
    assert endings == [AnswerNever(), AnswerWell(), AnswerNever()]
