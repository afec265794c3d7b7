"""Cancel attempts that exceed their timeout or whose caller has disconnected.

Report attempts whose answer is overdue.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from typing import Any

from attrs import define, evolve, field

from ..blackboard import Board, Region
from ..blackboard.regions import ATTEMPT_WATCH, RUNNING_ATTEMPTS
from ..frontends.backends import Transport
from ..records import AttemptWatch, RunningAttempt, RunningAttempts
from ..utils import Clock

__all__ = ["Canceller"]

CHECK_INTERVAL_S = 0.1
MIN_STEP_DELAY_S = 0.005


@define(kw_only=True, eq=False)
class Canceller:
    """Write the running attempts and attempt watch regions.

    Threads of requests wait for no lock but the blackboard's: an attempt enters the
    dictionaries before the region and leaves them after it.
    """

    board: Board
    clock: Clock
    transport: Transport
    name: str = "canceller"
    _disconnect_checks: dict[str, Callable[[], bool]] = field(factory=dict, init=False)
    _overdue_callbacks: dict[str, Callable[[], None]] = field(factory=dict, init=False)

    @property
    def watches(self) -> tuple[Region[Any], ...]:
        """Return the region that changes when the first attempt begins."""
        return (ATTEMPT_WATCH,)

    @contextmanager
    def watch(
        self,
        attempt_id: str,
        *,
        timeout_s: float,
        is_disconnected: Callable[[], bool],
        overdue_after_s: float = inf,
        on_overdue: Callable[[], None] = lambda: None,
    ) -> Iterator[None]:
        """Cancel the attempt at its timeout or when its caller disconnects.

        Call `on_overdue`, which must not block, once if it is still under way after
        `overdue_after_s` seconds.
        """
        now_s = self.clock.monotonic_s()
        running = RunningAttempt(
            attempt_id=attempt_id,
            end_s=now_s + timeout_s,
            overdue_s=now_s + overdue_after_s,
        )
        self._add_attempt(running, is_disconnected, on_overdue)
        try:
            yield
        finally:
            self._remove_attempt(attempt_id)

    def step(self) -> float | None:
        """Cancel attempts as needed; return seconds until the next check."""
        running = self._list_running()
        if not running:
            self._set_active(False)
            # An attempt that began before this write is seen now; a later one sees the
            # write and wakes the controller.
            running = self._list_running()
            if not running:
                return None
            self._set_active(True)
        now_s = self.clock.monotonic_s()
        for attempt in running:
            if now_s >= attempt.end_s or self._is_disconnected(attempt.attempt_id):
                self.transport.cancel(attempt.attempt_id)
            elif now_s >= attempt.overdue_s:
                self._report_overdue(attempt.attempt_id)
        times_s = [
            time_s
            for attempt in running
            for time_s in (attempt.end_s, attempt.overdue_s)
        ]
        remaining_s = [time_s - now_s for time_s in times_s if time_s > now_s]
        return max(MIN_STEP_DELAY_S, min([CHECK_INTERVAL_S, *remaining_s]))

    def _list_running(self) -> list[RunningAttempt]:
        return list(self.board.read(RUNNING_ATTEMPTS).by_id.values())

    def _is_disconnected(self, attempt_id: str) -> bool:
        check = self._disconnect_checks.get(attempt_id)
        return check is not None and check()

    def _report_overdue(self, attempt_id: str) -> None:
        on_overdue = self._overdue_callbacks.pop(attempt_id, None)
        if on_overdue is not None:
            on_overdue()

    def _add_attempt(
        self,
        attempt: RunningAttempt,
        is_disconnected: Callable[[], bool],
        on_overdue: Callable[[], None],
    ) -> None:
        attempt_id = attempt.attempt_id

        def add(running: RunningAttempts) -> RunningAttempts:
            return evolve(running, by_id=running.by_id.set(attempt_id, attempt))

        self._disconnect_checks[attempt_id] = is_disconnected
        self._overdue_callbacks[attempt_id] = on_overdue
        self.board.update(RUNNING_ATTEMPTS, add, writer=self.name)
        self._set_active(True)

    def _remove_attempt(self, attempt_id: str) -> None:
        def remove(running: RunningAttempts) -> RunningAttempts:
            return evolve(running, by_id=running.by_id.delete(attempt_id))

        self.board.update(RUNNING_ATTEMPTS, remove, writer=self.name)
        del self._disconnect_checks[attempt_id]
        self._overdue_callbacks.pop(attempt_id, None)

    def _set_active(self, is_active: bool) -> None:
        """Write the attempt watch only on a change: a write wakes the controller."""
        if self.board.read(ATTEMPT_WATCH).is_active != is_active:
            watch = AttemptWatch(is_active=is_active)
            self.board.write(ATTEMPT_WATCH, watch, writer=self.name)
