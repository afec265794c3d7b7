"""Break off attempts whose caller left or whose time is over."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from attrs import define, evolve, field

from ..blackboard import Board, Region
from ..blackboard.regions import ATTEMPT_WATCH, RUNNING_ATTEMPTS
from ..frontends.backends import Transport
from ..records import AttemptWatch, RunningAttempt, RunningAttempts
from ..utils import Clock

__all__ = ["Canceller"]

CHECK_S = 0.1
MIN_WAIT_S = 0.005


@define(kw_only=True, eq=False)
class Canceller:
    """Write the running attempts and attempt watch regions."""

    board: Board
    clock: Clock
    transport: Transport
    name: str = "canceller"
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _is_gone: dict[str, Callable[[], bool]] = field(factory=dict, init=False)

    @property
    def watches(self) -> tuple[Region[Any], ...]:
        """Return the region that changes when the first attempt begins."""
        return (ATTEMPT_WATCH,)

    @contextmanager
    def watch(
        self, attempt_id: str, *, timeout_s: float, is_gone: Callable[[], bool]
    ) -> Iterator[None]:
        """Cancel the attempt if it outlasts its timeout or its caller."""
        end_s = self.clock.monotonic_s() + timeout_s
        self._begin(RunningAttempt(attempt_id=attempt_id, end_s=end_s), is_gone)
        try:
            yield
        finally:
            self._end(attempt_id)

    def step(self) -> float | None:
        """Cancel what must end; return seconds until the next look."""
        with self._lock:
            running = list(self.board.read(RUNNING_ATTEMPTS).by_id.values())
            if not running:
                self._set_active(False)
                return None
            gone = {one.attempt_id: self._is_gone[one.attempt_id] for one in running}
        now_s = self.clock.monotonic_s()
        for attempt in running:
            if now_s >= attempt.end_s or gone[attempt.attempt_id]():
                self.transport.cancel(attempt.attempt_id)
        ends = [one.end_s - now_s for one in running if one.end_s > now_s]
        return max(MIN_WAIT_S, min([CHECK_S, *ends]))

    def _begin(self, attempt: RunningAttempt, is_gone: Callable[[], bool]) -> None:
        attempt_id = attempt.attempt_id

        def add(held: RunningAttempts) -> RunningAttempts:
            return evolve(held, by_id=held.by_id.set(attempt_id, attempt))

        with self._lock:
            self._is_gone[attempt_id] = is_gone
            self.board.update(RUNNING_ATTEMPTS, add, writer=self.name)
            self._set_active(True)

    def _end(self, attempt_id: str) -> None:
        def remove(held: RunningAttempts) -> RunningAttempts:
            return evolve(held, by_id=held.by_id.delete(attempt_id))

        with self._lock:
            del self._is_gone[attempt_id]
            self.board.update(RUNNING_ATTEMPTS, remove, writer=self.name)

    def _set_active(self, is_active: bool) -> None:
        """Write the watch only if it changes, since each write wakes the controller."""
        if self.board.read(ATTEMPT_WATCH).is_active != is_active:
            watch = AttemptWatch(is_active=is_active)
            self.board.write(ATTEMPT_WATCH, watch, writer=self.name)
