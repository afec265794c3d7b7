"""Run controllers on threads that wait for writes or timers."""

import logging
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol

from attrs import define, field

from ..blackboard import Board, Region, Subscription

__all__ = ["Controller", "Runner"]

RESTART_DELAY_S = 1.0

log = logging.getLogger(__name__)


class Controller(Protocol):
    """Read regions, decide, write the region that it owns."""

    @property
    def name(self) -> str:
        """Return the writer's name on the blackboard."""

    @property
    def watches(self) -> tuple[Region[Any], ...]:
        """Return the regions whose writes wake the controller."""

    def step(self) -> float | None:
        """Do one round; return seconds until the next, None to wait for a write."""


@define(kw_only=True, eq=False)
class Runner:
    """Give each controller a thread and restart one that fails."""

    board: Board
    controllers: tuple[Controller, ...]
    _stopping: threading.Event = field(factory=threading.Event, init=False)
    _subscriptions: list[Subscription] = field(factory=list, init=False)
    _futures: list[Future[None]] = field(factory=list, init=False)

    def start(self) -> None:
        """Start every controller."""
        pool = ThreadPoolExecutor(len(self.controllers), thread_name_prefix="ctl")
        for controller in self.controllers:
            sub = self.board.subscribe(controller.watches)
            self._subscriptions.append(sub)
            self._futures.append(pool.submit(self._run, controller, sub))
        pool.shutdown(wait=False)

    def stop(self) -> None:
        """Stop every controller and wait for its last round."""
        self._stopping.set()
        for sub in self._subscriptions:
            sub.wake()
        for fut in self._futures:
            fut.result()

    def _run(self, controller: Controller, sub: Subscription) -> None:
        while not self._stopping.is_set():
            wait_s = self._step(controller)
            sub.wait(wait_s)

    def _step(self, controller: Controller) -> float | None:
        try:
            return controller.step()
        except Exception:
            log.exception("controller failed", extra={"controller": controller.name})
            return RESTART_DELAY_S
