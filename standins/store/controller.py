"""Apply calls to the store's blackboard and block watches until a change."""

import threading
import time

from attrs import define, field

from ..board import Board, Transition
from . import decisions
from .records import (
    DelayedWrites,
    LostAnswers,
    RejectedCalls,
    SlowAnswers,
    StoreAnswer,
    StoreCall,
    StoreFault,
    StoreState,
    Unavailable,
    Unresponsive,
    WatchObjects,
)

__all__ = ["StoreController"]

MAX_UNRESPONSIVE_S = 60.0  # longest time that a call stays unanswered
FAULT_TOPIC = ""  # topic of fault changes; the other topics are kinds, never empty


@define(kw_only=True, eq=False)
class StoreController:
    """Read and write the blackboard for one store."""

    _board: Board[StoreState] = field(
        factory=lambda: Board(state=StoreState()), init=False
    )

    def call(self, call: StoreCall) -> StoreAnswer | None:
        """Return the answer to a call; None means no answer."""
        self._board.transact(lambda state: decisions.count_call(state, call))
        known = self._board.read()
        match known.fault:
            case RejectedCalls(status=status):
                return StoreAnswer(status=status, content=None, era=known.era)
            case Unavailable():
                return None
            case DelayedWrites(delay_s=delay_s) if decisions.is_write(call):
                threading.Timer(delay_s, self._perform, (call,)).start()
                return None
            case SlowAnswers(delay_s=delay_s):
                time.sleep(delay_s)
                return self._perform(call)
            case Unresponsive():
                self._board.wait_for(
                    FAULT_TOPIC,
                    lambda state: not isinstance(state.fault, Unresponsive),
                    timeout_s=MAX_UNRESPONSIVE_S,
                )
                return None
            case _:
                return self._perform(call)

    def state(self) -> StoreState:
        """Return the latest state."""
        return self._board.read()

    def set_fault(self, fault: StoreFault) -> None:
        """Replace the fault and wake all waiting calls."""
        self._board.transact(lambda state: decisions.set_fault(state, fault))
        self._board.wake_all()

    def compact(self) -> None:
        """Discard the history of changes."""
        self._board.transact(decisions.compact)

    def back_up(self) -> None:
        """Copy the objects for a later restore."""
        self._board.transact(decisions.back_up)

    def restore(self) -> None:
        """Return to the last backup, to the empty store if there is none."""
        self._board.transact(decisions.restore)
        self._board.wake_all()

    def _perform(self, call: StoreCall) -> StoreAnswer | None:
        match call:
            case WatchObjects(kind=kind, wait_s=wait_s):
                self._board.wait_for(
                    kind,
                    lambda state: (
                        decisions.is_unavailable(state)
                        or decisions.has_changes(state, call)
                    ),
                    timeout_s=wait_s,
                )
            case _:
                pass

        def make_transition(
            state: StoreState,
        ) -> Transition[StoreState, StoreAnswer | None]:
            if decisions.is_unavailable(state):
                return Transition(state=state, answer=None)
            applied = decisions.apply(state, call)
            is_lost = isinstance(state.fault, LostAnswers) and applied.topics
            status, content = applied.answer
            answer = StoreAnswer(status=status, content=content, era=state.era)
            return Transition(
                state=applied.state,
                answer=None if is_lost else answer,
                topics=applied.topics,
            )

        return self._board.transact(make_transition)
