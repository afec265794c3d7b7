"""Decide which work a backend server takes, how long it runs and how it ends."""

import random

from attrs import evolve

from ..board import Step
from .records import (
    Admission,
    AnswerAfter,
    AnswerError,
    AnswerForeign,
    AnswerNever,
    AnswerTruncated,
    AnswerWell,
    BackendState,
    Ending,
    Errors,
    Flap,
    Late,
    Load,
    Mode,
    Ok,
    Plan,
    Queued,
    Refuse,
    Run,
    Shed,
    SlowWork,
    Stall,
    Started,
    Truncate,
    Work,
    WrongAnswer,
)
from .secrets import encoded_forms, is_seen

__all__ = [
    "accepts_work",
    "admit",
    "begin_run",
    "connect",
    "disconnect",
    "finish_run",
    "leave",
    "load",
    "set_draining",
    "set_mode",
    "set_secrets",
]

COLD_FACTOR = 5.0
ERROR_SEED = 870
MAX_RUNS = 100_000
STALL_S = 30.0


def admit(
    state: BackendState, *, timeout_s: float | None
) -> Step[BackendState, Admission]:
    """Give the request a slot or a place in the queue, or shed it."""
    expired = timeout_s is not None and timeout_s <= 0
    if state.draining or expired:
        return Step(state=state, answer=Shed())
    ticket = state.next_ticket
    new = evolve(state, next_ticket=ticket + 1)
    if len(state.running) < state.settings.slots:
        new = evolve(new, running=state.running | {ticket})
        return Step(state=new, answer=Started(ticket=ticket))
    if len(state.waiting) < state.settings.queue:
        new = evolve(new, waiting=(*state.waiting, ticket))
        return Step(state=new, answer=Queued(ticket=ticket))
    return Step(state=state, answer=Shed())


def leave(state: BackendState, ticket: int) -> Step[BackendState, Started | None]:
    """Remove a ticket and answer with the one that gets its slot."""
    waiting = tuple(other for other in state.waiting if other != ticket)
    running = state.running - {ticket}
    new = evolve(state, running=running, waiting=waiting)
    if not waiting or len(running) >= state.settings.slots:
        return Step(state=new, answer=None)
    first = waiting[0]
    new = evolve(new, running=running | {first}, waiting=waiting[1:])
    return Step(state=new, answer=Started(ticket=first))


def begin_run(
    state: BackendState, work: Work, *, now_s: float
) -> Step[BackendState, Plan]:
    """Log the run and answer with its plan."""
    number = state.next_run
    runs = state.runs.set(number, _run(state, work))
    if len(runs) > MAX_RUNS:
        runs = runs.delete(number - MAX_RUNS)
    plan = _plan(state, number, now_s)
    return Step(state=evolve(state, runs=runs, next_run=number + 1), answer=plan)


def finish_run(state: BackendState, number: int) -> Step[BackendState, None]:
    """Mark a run as finished, if the log still holds it."""
    run = state.runs.get(number)
    if run is None:
        return Step(state=state, answer=None)
    runs = state.runs.set(number, evolve(run, finished=True))
    return Step(state=evolve(state, runs=runs), answer=None)


def connect(state: BackendState) -> Step[BackendState, bool]:
    """Admit a connection and answer whether it is within the limit."""
    if state.connections >= state.settings.connections:
        return Step(state=state, answer=False)
    new = evolve(state, connections=state.connections + 1)
    return Step(state=new, answer=True)


def disconnect(state: BackendState) -> Step[BackendState, None]:
    """Release an admitted connection."""
    return Step(state=evolve(state, connections=state.connections - 1), answer=None)


def accepts_work(state: BackendState) -> bool:
    """Return whether a work request is read at all."""
    match state.mode:
        case Refuse():
            return False
        case _:
            return True


def load(state: BackendState) -> Load:
    """Return the load that the server reports."""
    return Load(
        busy=len(state.running), slots=state.settings.slots, draining=state.draining
    )


def set_draining(state: BackendState, draining: bool) -> Step[BackendState, None]:
    """Start or stop to shed new work."""
    return Step(state=evolve(state, draining=draining), answer=None)


def set_mode(
    state: BackendState, mode: Mode, *, now_s: float
) -> Step[BackendState, None]:
    """Replace the gray mode."""
    return Step(state=evolve(state, mode=mode, mode_since_s=now_s), answer=None)


def set_secrets(
    state: BackendState, secrets: tuple[str, ...]
) -> Step[BackendState, None]:
    """Replace the secrets that the run log looks for."""
    return Step(state=evolve(state, secret_forms=encoded_forms(secrets)), answer=None)


def _run(state: BackendState, work: Work) -> Run:
    return Run(
        request_id=work.request_id,
        idempotency_key=work.idempotency_key,
        method=work.method,
        path=work.path,
        organisation=work.organisation,
        body_sha256=work.body_sha256,
        finished=False,
        key_seen=is_seen(state.secret_forms, work.texts),
    )


def _plan(state: BackendState, number: int, now_s: float) -> Plan:
    work_s = _work_s(state, now_s)
    ending = _ending(state, number, now_s)
    match ending:
        case AnswerNever():
            return Plan(run=number, hold_s=STALL_S, ending=ending)
        case _:
            return Plan(run=number, hold_s=work_s, ending=ending)


def _work_s(state: BackendState, now_s: float) -> float:
    cold = now_s - state.started_s < state.settings.cold_start_s
    work_s = state.settings.work_s * (COLD_FACTOR if cold else 1.0)
    match state.mode:
        case SlowWork(factor=factor):
            return work_s * factor
        case _:
            return work_s


def _ending(state: BackendState, number: int, now_s: float) -> Ending:
    match state.mode:
        case Ok() | SlowWork() | Refuse():
            return AnswerWell()
        case Stall():
            return AnswerNever()
        case Errors(share=share):
            chance = random.Random(f"{ERROR_SEED}:{number}").random()
            return AnswerError() if chance < share else AnswerWell()
        case Flap(period_s=period_s):
            periods = int((now_s - state.mode_since_s) / period_s)
            return AnswerNever() if periods % 2 == 0 else AnswerWell()
        case Late(delay_s=delay_s):
            return AnswerAfter(delay_s=delay_s)
        case Truncate():
            return AnswerTruncated()
        case WrongAnswer():
            return AnswerForeign()
