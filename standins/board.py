"""Store the state of a stand-in as one record and notify waiting threads."""

import threading
from collections.abc import Callable
from typing import Generic, TypeVar

from attrs import Factory, define, field, frozen

__all__ = ["Board", "Transition"]

S = TypeVar("S")
R = TypeVar("R")


@frozen(kw_only=True)
class Transition(Generic[S, R]):
    """Describe the next state, the answer and the topics whose waiters to wake."""

    state: S
    answer: R
    topics: frozenset[str] = frozenset()


@define(kw_only=True, eq=False)
class Board(Generic[S]):
    """Store one immutable record; every change is atomic."""

    _state: S
    _lock: threading.RLock = field(factory=threading.RLock, init=False)
    _waiters: dict[str, list[threading.Condition]] = Factory(dict)

    def read(self) -> S:
        """Return the latest record."""
        return self._state

    def transact(self, make_transition: Callable[[S], Transition[S, R]]) -> R:
        """Replace the record with the next state and return the transition's answer."""
        with self._lock:
            transition = make_transition(self._state)
            self._state = transition.state
            for topic in transition.topics:
                self._wake(topic)
        return transition.answer

    def wake_all(self) -> None:
        """Make every waiting thread check the record again."""
        with self._lock:
            for topic in self._waiters:
                self._wake(topic)

    def wait_for(
        self, topic: str, ready: Callable[[S], bool], *, timeout_s: float
    ) -> bool:
        """Block until `ready` holds for the record; return False on a timeout.

        The record is checked again whenever `topic` changes.
        """
        cond = threading.Condition(self._lock)
        with self._lock:
            self._waiters.setdefault(topic, []).append(cond)
            try:
                return cond.wait_for(lambda: ready(self._state), timeout_s)
            finally:
                self._remove(topic, cond)

    def _wake(self, topic: str) -> None:
        for cond in self._waiters.get(topic, ()):
            cond.notify_all()

    def _remove(self, topic: str, cond: threading.Condition) -> None:
        self._waiters[topic].remove(cond)
        if not self._waiters[topic]:
            del self._waiters[topic]
