"""Count what happens in this process."""

from bisect import bisect_left

from attrs import define, evolve

from ..blackboard import Board
from ..blackboard.regions import COUNTERS
from ..records import LATENCY_BOUNDS_S, Counters

__all__ = ["MetricsRecorder"]


@define(kw_only=True, eq=False)
class MetricsRecorder:
    """Write the counters region."""

    board: Board
    name: str = "accountant"

    def count(self, counter: str, label: str = "", amount: int = 1) -> None:
        """Add to one counter."""

        def add(counters: Counters) -> Counters:
            total = counters.totals.get((counter, label), 0) + amount
            return evolve(counters, totals=counters.totals.set((counter, label), total))

        self.board.update(COUNTERS, add, writer=self.name)

    def observe_added_latency(self, added_s: float) -> None:
        """Record the seconds that this host added to one request."""

        def add(counters: Counters) -> Counters:
            counts = list(counters.added.counts)
            counts[bisect_left(LATENCY_BOUNDS_S, added_s)] += 1
            total_s = counters.added.sum_s + added_s
            added = evolve(counters.added, counts=tuple(counts), sum_s=total_s)
            return evolve(counters, added=added)

        self.board.update(COUNTERS, add, writer=self.name)
