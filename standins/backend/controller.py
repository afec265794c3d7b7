"""Run work in the slots of a backend server's blackboard."""

import socket
import threading
import time

from attrs import define, field

from ..board import Board
from . import decisions
from .records import (
    Abandoned,
    Admission,
    AnswerAfterDelay,
    AnswerError,
    AnswerForeign,
    AnswerMode,
    AnswerNever,
    AnswerNormally,
    AnswerTruncated,
    BackendSettings,
    BackendState,
    Completed,
    Failed,
    FaultMode,
    Mismatched,
    Outcome,
    Queued,
    Shed,
    Started,
    Truncated,
    WorkRequest,
)
from .waiting import CallerClosed, TimedOut, Woken, wait_for_caller

__all__ = ["BackendController"]

PROBE_DURATION_S = 0.025  # time for which a health probe occupies a slot
CONNECT_DELAY_S = 0.001  # delay of each new connection


@define(kw_only=True, eq=False)
class BackendController:
    """Read and write the blackboard for one server."""

    _settings: BackendSettings
    _board: Board[BackendState] = field(init=False)
    _wakers: dict[int, socket.socket] = field(factory=dict, init=False)
    _wakers_lock: threading.Lock = field(factory=threading.Lock, init=False)

    def __attrs_post_init__(self) -> None:
        """Start with every slot free."""
        state = BackendState(settings=self._settings, started_s=time.monotonic())
        self._board = Board(state=state)

    def state(self) -> BackendState:
        """Return the latest state."""
        return self._board.read()

    def connect(self) -> bool:
        """Admit a new connection; return False above the connection limit."""
        time.sleep(CONNECT_DELAY_S)
        return self._board.transact(decisions.admit_connection)

    def disconnect(self) -> None:
        """Stop counting an admitted connection, which was closed."""
        self._board.transact(decisions.release_connection)

    def set_draining(self, draining: bool) -> None:
        """Start or stop shedding new work."""
        self._board.transact(lambda state: decisions.set_draining(state, draining))

    def set_mode(self, mode: FaultMode) -> None:
        """Replace the fault mode."""
        now_s = time.monotonic()
        self._board.transact(lambda state: decisions.set_mode(state, mode, now_s=now_s))

    def set_secrets(self, secrets: tuple[str, ...]) -> None:
        """Replace the secrets whose presence in requests is recorded with each run."""
        self._board.transact(lambda state: decisions.set_secrets(state, secrets))

    def perform(self, work: WorkRequest, conn: socket.socket) -> Outcome:
        """Run the work in a slot and return the outcome to answer with."""
        match self._take_slot(work.timeout_s, conn):
            case Shed():
                return Shed()
            case Abandoned():
                return Abandoned()
            case Started(ticket=ticket):
                answer_mode = self._run(work, ticket, conn)
        return _determine_outcome(answer_mode, conn)

    def probe(self, conn: socket.socket) -> Outcome:
        """Run a health probe in a slot, whatever the fault mode."""
        match self._take_slot(None, conn):
            case Shed():
                return Shed()
            case Abandoned():
                return Abandoned()
            case Started(ticket=ticket):
                wait_for_caller(conn, timeout_s=PROBE_DURATION_S)
                self._remove_ticket(ticket)
        return Completed()

    def _take_slot(
        self, timeout_s: float | None, conn: socket.socket
    ) -> Started | Shed | Abandoned:
        admission: Admission = self._board.transact(
            lambda state: decisions.admit(state, timeout_s=timeout_s)
        )
        match admission:
            case Queued(ticket=ticket):
                return self._wait_in_queue(ticket, timeout_s, conn)
            case Started() | Shed():
                return admission

    def _wait_in_queue(
        self, ticket: int, timeout_s: float | None, conn: socket.socket
    ) -> Started | Shed | Abandoned:
        wake_receiver, wake_sender = socket.socketpair()
        with wake_receiver, wake_sender:
            self._add_waker(ticket, wake_sender)
            try:
                result = wait_for_caller(conn, timeout_s=timeout_s, waker=wake_receiver)
            finally:
                self._remove_waker(ticket)
        match result:
            case Woken():
                return Started(ticket=ticket)
            case CallerClosed():
                self._remove_ticket(ticket)
                return Abandoned()
            case TimedOut():
                self._remove_ticket(ticket)
                return Shed()

    def _run(self, work: WorkRequest, ticket: int, conn: socket.socket) -> AnswerMode:
        try:
            now_s = time.monotonic()
            plan = self._board.transact(
                lambda state: decisions.begin_run(state, work, now_s=now_s)
            )
            return self._wait_for_completion(
                plan.run, plan.duration_s, plan.answer_mode, conn
            )
        finally:
            self._remove_ticket(ticket)

    def _wait_for_completion(
        self, run: int, duration_s: float, answer_mode: AnswerMode, conn: socket.socket
    ) -> AnswerMode:
        match wait_for_caller(conn, timeout_s=duration_s), answer_mode:
            case (CallerClosed(), _) | (_, AnswerNever()):
                return AnswerNever()
            case _:
                self._board.transact(lambda state: decisions.finish_run(state, run))
                return answer_mode

    def _remove_ticket(self, ticket: int) -> None:
        granted = self._board.transact(
            lambda state: decisions.remove_ticket(state, ticket)
        )
        if granted is not None:
            self._wake(granted.ticket)

    def _add_waker(self, ticket: int, waker: socket.socket) -> None:
        with self._wakers_lock:
            self._wakers[ticket] = waker
        if ticket in self._board.read().running:
            self._wake(ticket)

    def _remove_waker(self, ticket: int) -> None:
        with self._wakers_lock:
            del self._wakers[ticket]

    def _wake(self, ticket: int) -> None:
        with self._wakers_lock:
            waker = self._wakers.get(ticket)
            if waker is not None:
                waker.send(b"\0")


def _determine_outcome(answer_mode: AnswerMode, conn: socket.socket) -> Outcome:
    match answer_mode:
        case AnswerNormally():
            return Completed()
        case AnswerError():
            return Failed()
        case AnswerAfterDelay(delay_s=delay_s):
            return _delay_answer(delay_s, conn)
        case AnswerNever():
            return Abandoned()
        case AnswerTruncated():
            return Truncated()
        case AnswerForeign():
            return Mismatched()


def _delay_answer(delay_s: float, conn: socket.socket) -> Outcome:
    match wait_for_caller(conn, timeout_s=delay_s):
        case CallerClosed():
            return Abandoned()
        case _:
            return Completed()
