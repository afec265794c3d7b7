"""Probe whether the host that watches for its failure domain reaches the store."""

from random import Random
from typing import Protocol

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import RELAY_NOTICE, STORE_REACH, STORE_RELAY
from ..decisions.outages import extend_span
from ..decisions.store_calls import draw_probe_pause_s, find_reach_s
from ..records import FeedUnavailable, HostId, StoreReach
from ..utils import Clock
from .metrics_recorder import MetricsRecorder

__all__ = ["ProbedStore", "StoreProbe"]


class ProbedStore(Protocol):
    """Answer probes at the least cost."""

    def probe(self, host_id: HostId) -> FeedUnavailable | None:
        """Return why the store did not answer, None if it did."""


@define(kw_only=True, eq=False)
class StoreProbe:
    """Write the store reach region while this host watches the store or hears of none.

    A long watch is cheap but shows only at its end that the store is reached. The
    other hosts of the domain rely on the watching host as long as its probes are
    answered, one every `interval_s` seconds. If nobody is known to have reached the
    store for `relay_limit_s` seconds, the others probe it too, with growing pauses.
    Without an answer for `outage_s` seconds, the store counts as having been away.
    """

    board: Board
    clock: Clock
    metrics: MetricsRecorder
    store: ProbedStore
    host_id: HostId
    interval_s: float
    outage_s: float
    relay_limit_s: float = 1.4
    rng: Random = field(factory=Random)
    name: str = "store_probe"
    watches = (RELAY_NOTICE,)
    _failures: int = field(default=0, init=False)
    _next_probe_s: float = field(default=0.0, init=False)

    def step(self) -> float | None:
        """Probe the store when it is due; return seconds until the next probe."""
        is_watcher = self.board.read(RELAY_NOTICE).is_watcher
        sent_s = self.clock.monotonic_s()
        known = self.board.read(STORE_REACH)
        if is_watcher:
            reached_s, wait_s = known.reached_s, self.interval_s
        else:
            reached_s = find_reach_s(self.board.read(STORE_RELAY), known)
            wait_s = self.relay_limit_s
            if reached_s is None:
                return None
        due_s = 0.0 if reached_s is None else reached_s + wait_s
        if not is_watcher:
            due_s = max(due_s, self._next_probe_s)
        if sent_s < due_s:
            return due_s - sent_s
        purpose = "read" if is_watcher else "alone"
        self.metrics.count("store_calls", f"{self.name}_{purpose}")
        failure = self.store.probe(self.host_id)
        if failure is not None:
            self.metrics.count("store_failures", self.name)
            self._failures += 1
            if is_watcher:
                return self.interval_s
            pause_s = draw_probe_pause_s(
                self._failures, interval_s=self.interval_s, rng=self.rng
            )
            self._next_probe_s = self.clock.monotonic_s() + pause_s
            return pause_s
        answered_s = self.clock.monotonic_s()
        reach = StoreReach(
            reached_s=sent_s,
            available=extend_span(known.available, answered_s, outage_s=self.outage_s),
            recovered_s=answered_s if self._failures else known.recovered_s,
        )
        self._failures = 0
        self.board.write(STORE_REACH, reach, writer=self.name)
        return self.interval_s
