"""Store the latest record of each region and wake controllers when it changes."""

import threading
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from attrs import define, field

from ..exception import RegionOwnershipError
from .region import Region

__all__ = ["Board", "Subscription"]

T = TypeVar("T")
R = TypeVar("R")


@define(kw_only=True, eq=False)
class Subscription:
    """Wake one controller when any of its regions is written."""

    _event: threading.Event = field(factory=threading.Event, init=False)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Block until a write or the timeout; return whether a write occurred."""
        woken = self._event.wait(timeout_s)
        self._event.clear()
        return woken

    def wake(self) -> None:
        """Let the controller that waits on this subscription go on now."""
        self._event.set()


@define(kw_only=True, eq=False)
class Board:
    """Store immutable records by region; each region has one writer."""

    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _records: dict[Region[Any], Any] = field(factory=dict, init=False)
    _subscribers: dict[Region[Any], tuple[Subscription, ...]] = field(
        factory=dict, init=False
    )

    def read(self, region: Region[T]) -> T:
        """Return the latest record of the region."""
        record: T = self._records.get(region, region.initial)
        return record

    def write(self, region: Region[T], record: T, *, writer: str) -> None:
        """Replace the record; raise RegionOwnershipError for another writer."""
        self.update(region, lambda _: record, writer=writer)

    def update(self, region: Region[T], change: Callable[[T], T], *, writer: str) -> T:
        """Replace the record atomically by what `change` returns for it; return that.

        Subscribers are not woken if `change` returns the same object. Raises
        RegionOwnershipError if `writer` is not the region's writer.
        """
        if writer != region.writer:
            raise RegionOwnershipError(
                f"{writer} may not write region {region.name}, owned by {region.writer}"
            )
        with self._lock:
            old = self.read(region)
            new = change(old)
            self._records[region] = new
        if new is not old:
            self._wake(region)
        return new

    def transact(
        self, region: Region[T], transition: Callable[[T], tuple[T, R]], *, writer: str
    ) -> R:
        """Replace the record atomically and return the result of `transition`.

        `transition` gets the record and returns the new record and that result.
        """
        results: list[R] = []

        def change(old: T) -> T:
            new, result = transition(old)
            results.append(result)
            return new

        self.update(region, change, writer=writer)
        return results[0]

    def subscribe(self, regions: Iterable[Region[Any]]) -> Subscription:
        """Return a subscription that is woken by writes to the given regions."""
        subscription = Subscription()
        with self._lock:
            for region in regions:
                current = self._subscribers.get(region, ())
                self._subscribers[region] = (*current, subscription)
        return subscription

    def dump(self) -> dict[str, Any]:
        """Return the records of all regions that were written, by region name."""
        with self._lock:
            return {region.name: record for region, record in self._records.items()}

    def _wake(self, region: Region[Any]) -> None:
        for subscription in self._subscribers.get(region, ()):
            subscription.wake()
