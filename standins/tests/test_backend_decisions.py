from attrs import evolve

from standins.backend import BackendSettings, decisions
from standins.backend.records import (
    AnswerNever,
    AnswerNormally,
    BackendState,
    Flapping,
    Queued,
    Shed,
    Started,
    WorkRequest,
)

SETTINGS = BackendSettings(service="ledger", slots=1, queue=1)
STATE = BackendState(settings=SETTINGS, started_s=0.0)


def test_released_slot_goes_to_the_first_queued_request() -> None:
    first = decisions.admit(STATE, timeout_s=None)
    second = decisions.admit(first.state, timeout_s=None)
    third = decisions.admit(second.state, timeout_s=None)
    assert (first.answer, second.answer) == (Started(ticket=0), Queued(ticket=1))
    assert third.answer == Shed()
    left = decisions.remove_ticket(third.state, 0)
    assert left.answer == Started(ticket=1)
    assert (left.state.running, left.state.queued) == (frozenset({1}), ())


def test_queued_request_that_leaves_frees_no_slot() -> None:
    full = decisions.admit(decisions.admit(STATE, timeout_s=None).state, timeout_s=None)
    left = decisions.remove_ticket(full.state, 1)
    assert left.answer is None
    assert (left.state.running, left.state.queued) == (frozenset({0}), ())


def test_expired_deadline_is_shed_despite_a_free_slot() -> None:
    assert decisions.admit(STATE, timeout_s=0.0).answer == Shed()


def test_cold_start_and_flap_follow_the_clock() -> None:
    work = WorkRequest(
        request_id="",
        idempotency_key="",
        method="GET",
        path="/",
        organisation="",
        body_sha256="",
    )
    cold = evolve(STATE, settings=evolve(SETTINGS, cold_start_s=10.0))
    holds = [
        decisions.begin_run(cold, work, now_s=t).answer.duration_s for t in (9, 10)
    ]
    assert holds == [5 * SETTINGS.work_s, SETTINGS.work_s]
    flapping = decisions.set_mode(STATE, Flapping(period_s=4.0), now_s=100.0).state
    endings = [
        decisions.begin_run(flapping, work, now_s=t).answer.answer_mode
        for t in (100, 104, 108)
    ]
    assert endings == [AnswerNever(), AnswerNormally(), AnswerNever()]
