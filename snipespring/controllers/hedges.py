"""Run a second attempt of a request beside one that is overdue."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Generic, TypeVar

from attrs import define, field

__all__ = ["Hedge"]

T = TypeVar("T")


@define(kw_only=True, eq=False)
class Hedge(Generic[T]):
    """Start the second attempt at most once, and not after the first has ended.

    `run` returns the result of the second attempt, or None if none was sent; `cancel`
    ends it early.
    """

    executor: Executor
    run: Callable[[], T | None]
    cancel: Callable[[], None]
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _is_closed: bool = field(default=False, init=False)
    _is_abandoned: bool = field(default=False, init=False)
    _fut: Future[T | None] | None = field(default=None, init=False)

    @property
    def is_abandoned(self) -> bool:
        """Return whether the result of the second attempt is not needed any more.

        `cancel` has no effect on an attempt that is about to be sent, so the attempt
        must check this too.
        """
        return self._is_abandoned

    def start(self) -> None:
        """Start the second attempt on a thread of the executor."""
        with self._lock:
            if not self._is_closed and self._fut is None:
                self._fut = self.executor.submit(self.run)

    def finish(self, *, is_needed: bool) -> T | None:
        """Return the result of the second attempt if it is needed, else cancel it."""
        with self._lock:
            self._is_closed = True
        if self._fut is None or self._fut.cancel():
            return None
        if is_needed:
            return self._fut.result()
        self._is_abandoned = True
        self.cancel()
        return None
