"""Decide which work a server admits, how long it runs and how it is answered."""

import random

from attrs import evolve

from ..board import Transition
from .records import (
    Admission,
    AnswerAfterDelay,
    AnswerError,
    AnswerForeign,
    AnswerMode,
    AnswerNever,
    AnswerNormally,
    AnswerTruncated,
    BackendState,
    ErrorAnswers,
    FaultMode,
    Flapping,
    LateAnswers,
    Load,
    MismatchedAnswers,
    NoFault,
    Queued,
    RefusedWork,
    RunPlan,
    RunRecord,
    Shed,
    SlowWork,
    StalledWork,
    Started,
    TruncatedAnswers,
    WorkRequest,
)
from .secrets import is_any_found, list_encodings

__all__ = [
    "accepts_work",
    "admit",
    "admit_connection",
    "begin_run",
    "finish_run",
    "make_load",
    "release_connection",
    "remove_ticket",
    "set_draining",
    "set_mode",
    "set_secrets",
]

COLD_START_FACTOR = 5.0  # by which work takes longer during the cold start
ERROR_SEED = 870  # fixed, so that the same runs fail each time
MAX_LOGGED_RUNS = 100_000  # older records are dropped
STALL_DURATION_S = 30.0  # time for which a stalled run occupies its slot


def admit(
    state: BackendState, *, timeout_s: float | None
) -> Transition[BackendState, Admission]:
    """Assign the request a slot or a place in the queue, or shed it."""
    expired = timeout_s is not None and timeout_s <= 0
    if state.draining or expired:
        return Transition(state=state, answer=Shed())
    ticket = state.next_ticket
    new = evolve(state, next_ticket=ticket + 1)
    if len(state.running) < state.settings.slots:
        new = evolve(new, running=state.running | {ticket})
        return Transition(state=new, answer=Started(ticket=ticket))
    if len(state.queued) < state.settings.queue:
        new = evolve(new, queued=(*state.queued, ticket))
        return Transition(state=new, answer=Queued(ticket=ticket))
    return Transition(state=state, answer=Shed())


def remove_ticket(
    state: BackendState, ticket: int
) -> Transition[BackendState, Started | None]:
    """Remove a ticket and answer with the queued one that gets its slot, if any."""
    queued = tuple(other for other in state.queued if other != ticket)
    running = state.running - {ticket}
    new = evolve(state, running=running, queued=queued)
    if not queued or len(running) >= state.settings.slots:
        return Transition(state=new, answer=None)
    first = queued[0]
    new = evolve(new, running=running | {first}, queued=queued[1:])
    return Transition(state=new, answer=Started(ticket=first))


def begin_run(
    state: BackendState, work: WorkRequest, *, now_s: float
) -> Transition[BackendState, RunPlan]:
    """Record the run and answer with its plan."""
    number = state.next_run_number
    runs = state.runs.set(number, _make_run_record(state, work))
    if len(runs) > MAX_LOGGED_RUNS:
        runs = runs.delete(number - MAX_LOGGED_RUNS)
    plan = _make_run_plan(state, number, now_s)
    return Transition(
        state=evolve(state, runs=runs, next_run_number=number + 1), answer=plan
    )


def finish_run(state: BackendState, number: int) -> Transition[BackendState, None]:
    """Mark a run as finished if it is still on record."""
    run = state.runs.get(number)
    if run is None:
        return Transition(state=state, answer=None)
    runs = state.runs.set(number, evolve(run, finished=True))
    return Transition(state=evolve(state, runs=runs), answer=None)


def admit_connection(state: BackendState) -> Transition[BackendState, bool]:
    """Admit a connection if it is within the limit; answer whether it is."""
    if state.connections >= state.settings.connections:
        return Transition(state=state, answer=False)
    new = evolve(state, connections=state.connections + 1)
    return Transition(state=new, answer=True)


def release_connection(state: BackendState) -> Transition[BackendState, None]:
    """Stop counting an admitted connection, which was closed."""
    return Transition(
        state=evolve(state, connections=state.connections - 1), answer=None
    )


def accepts_work(state: BackendState) -> bool:
    """Return whether work requests are read; if not, their connections are closed."""
    match state.mode:
        case RefusedWork():
            return False
        case _:
            return True


def make_load(state: BackendState) -> Load:
    """Return the load that the server reports."""
    return Load(
        busy=len(state.running), slots=state.settings.slots, draining=state.draining
    )


def set_draining(state: BackendState, draining: bool) -> Transition[BackendState, None]:
    """Start or stop shedding new work."""
    return Transition(state=evolve(state, draining=draining), answer=None)


def set_mode(
    state: BackendState, mode: FaultMode, *, now_s: float
) -> Transition[BackendState, None]:
    """Replace the fault mode."""
    return Transition(state=evolve(state, mode=mode, mode_set_at_s=now_s), answer=None)


def set_secrets(
    state: BackendState, secrets: tuple[str, ...]
) -> Transition[BackendState, None]:
    """Replace the secrets whose presence in requests is recorded with each run."""
    return Transition(
        state=evolve(state, secret_encodings=list_encodings(secrets)), answer=None
    )


def _make_run_record(state: BackendState, work: WorkRequest) -> RunRecord:
    return RunRecord(
        request_id=work.request_id,
        idempotency_key=work.idempotency_key,
        method=work.method,
        path=work.path,
        organisation=work.organisation,
        body_sha256=work.body_sha256,
        finished=False,
        key_seen=is_any_found(state.secret_encodings, work.searched_texts),
    )


def _make_run_plan(state: BackendState, number: int, now_s: float) -> RunPlan:
    work_s = _work_duration_s(state, now_s)
    answer_mode = _choose_answer_mode(state, number, now_s)
    match answer_mode:
        case AnswerNever():
            return RunPlan(
                run=number, duration_s=STALL_DURATION_S, answer_mode=answer_mode
            )
        case _:
            return RunPlan(run=number, duration_s=work_s, answer_mode=answer_mode)


def _work_duration_s(state: BackendState, now_s: float) -> float:
    is_cold = now_s - state.started_s < state.settings.cold_start_s
    work_s = state.settings.work_s * (COLD_START_FACTOR if is_cold else 1.0)
    match state.mode:
        case SlowWork(factor=factor):
            return work_s * factor
        case _:
            return work_s


def _choose_answer_mode(state: BackendState, number: int, now_s: float) -> AnswerMode:
    match state.mode:
        case NoFault() | SlowWork() | RefusedWork():
            return AnswerNormally()
        case StalledWork():
            return AnswerNever()
        case ErrorAnswers(share=share):
            sample = random.Random(f"{ERROR_SEED}:{number}").random()
            return AnswerError() if sample < share else AnswerNormally()
        case Flapping(period_s=period_s):
            periods = int((now_s - state.mode_set_at_s) / period_s)
            return AnswerNever() if periods % 2 == 0 else AnswerNormally()
        case LateAnswers(delay_s=delay_s):
            return AnswerAfterDelay(delay_s=delay_s)
        case TruncatedAnswers():
            return AnswerTruncated()
        case MismatchedAnswers():
            return AnswerForeign()
