"""Probe whether the host that watches for its failure domain reaches the store."""

from typing import Protocol

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import RELAY_NOTICE, STORE_REACH
from ..decisions.outages import extend_span
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
    """Write the store reach region while this host watches the configuration.

    A long watch is cheap but shows only at its end that the store is reached. The
    other hosts of the domain rely on the watching host as long as its probes are
    answered, one every `interval_s` seconds. Without an answer for `outage_s` seconds,
    the store counts as having been away.
    """

    board: Board
    clock: Clock
    metrics: MetricsRecorder
    store: ProbedStore
    host_id: HostId
    interval_s: float
    outage_s: float
    name: str = "store_probe"
    watches = (RELAY_NOTICE,)

    def step(self) -> float | None:
        """Probe the store when it is due; return seconds until the next probe."""
        if not self.board.read(RELAY_NOTICE).is_watcher:
            return None
        sent_s = self.clock.monotonic_s()
        known = self.board.read(STORE_REACH)
        reached_s = known.reached_s
        if reached_s is not None and sent_s < reached_s + self.interval_s:
            return reached_s + self.interval_s - sent_s
        self.metrics.count("store_calls", f"{self.name}_read")
        failure = self.store.probe(self.host_id)
        if failure is not None:
            self.metrics.count("store_failures", self.name)
            return self.interval_s
        answered_s = self.clock.monotonic_s()
        reach = StoreReach(
            reached_s=sent_s,
            available=extend_span(known.available, answered_s, outage_s=self.outage_s),
        )
        self.board.write(STORE_REACH, reach, writer=self.name)
        return self.interval_s
