"""Run controllers on threads that wait for writes to regions or for timers."""

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
    """Read regions, call decision functions and write the owned region."""

    @property
    def name(self) -> str:
        """Return the name under which this controller writes to the blackboard."""

    @property
    def watches(self) -> tuple[Region[Any], ...]:
        """Return the regions whose writes wake the controller."""

    def step(self) -> float | None:
        """Do one round; return seconds until the next, None to wait for a write."""


@define(kw_only=True, eq=False)
class Runner:
    """Run each controller on its own thread.

    The next round of a controller that failed starts after `RESTART_DELAY_S` seconds.
    """

    board: Board
    controllers: tuple[Controller, ...]
    _stopping: threading.Event = field(factory=threading.Event, init=False)
    _subscriptions: list[Subscription] = field(factory=list, init=False)
    _futures: list[Future[None]] = field(factory=list, init=False)

    def start(self) -> None:
        """Start every controller."""
        pool = ThreadPoolExecutor(len(self.controllers), thread_name_prefix="ctl")
        for controller in self.controllers:
            subscription = self.board.subscribe(controller.watches)
            self._subscriptions.append(subscription)
            self._futures.append(pool.submit(self._run, controller, subscription))
        pool.shutdown(wait=False)

    def stop(self) -> None:
        """Stop every controller and wait for its last round."""
        self._stopping.set()
        for subscription in self._subscriptions:
            subscription.wake()
        for future in self._futures:
            future.result()

    def _run(self, controller: Controller, subscription: Subscription) -> None:
        while not self._stopping.is_set():
            wait_s = self._step(controller)
            subscription.wait(wait_s)

    def _step(self, controller: Controller) -> float | None:
        try:
            return controller.step()
        except Exception:
            log.exception("controller failed", extra={"controller": controller.name})
            return RESTART_DELAY_S
