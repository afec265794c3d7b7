"""Carry calls to the platform's blackboard and wait for watches."""

import time

from attrs import define, field

from ..board import Board
from . import decisions
from .records import (
    Admitted,
    Call,
    Faults,
    NoAnswer,
    Outcome,
    PlatformState,
    Refused,
    WatchObject,
)

__all__ = ["PlatformController"]


@define(kw_only=True, eq=False)
class PlatformController:
    """Read and write the blackboard for one platform."""

    _board: Board[PlatformState] = field(
        factory=lambda: Board(state=PlatformState()), init=False
    )

    def call(self, call: Call) -> Outcome:
        """Return the outcome of an object call, after any delay and wait."""
        match self._board.transact(lambda state: decisions.admit(state, call)):
            case Refused():
                return NoAnswer()
            case Admitted() as admitted:
                return self._perform(call, admitted)

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and end the watches if the platform goes away."""
        self._board.transact(lambda state: decisions.set_faults(state, faults))
        self._board.wake_all()

    def set_hosts(self, names: tuple[str, ...], *, lag_s: float) -> None:
        """Replace the host list, visible after the lag in seconds."""
        now_s = time.monotonic()
        self._board.transact(
            lambda state: decisions.set_hosts(state, names, lag_s=lag_s, now_s=now_s)
        )

    def state(self) -> PlatformState:
        """Return the latest state."""
        return self._board.read()

    def _perform(self, call: Call, admitted: Admitted) -> Outcome:
        time.sleep(decisions.delay_s(self._board.read()))
        match call:
            case WatchObject():
                self._wait(call, admitted)
        now_s = time.monotonic()
        return self._board.transact(
            lambda state: decisions.apply(state, call, admitted, now_s=now_s)
        )

    def _wait(self, call: WatchObject, admitted: Admitted) -> None:
        def ready(state: PlatformState) -> bool:
            interrupted = decisions.interrupted(state, admitted)
            return interrupted or decisions.watch_ended(state, call)

        self._board.wait_for(call.name, ready, timeout_s=call.wait_s)
