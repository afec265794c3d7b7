"""Register this host again if a restore of the store has lost its object."""

from random import Random
from typing import Protocol

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import SERVER_FEED, STORE_ERA, STORE_REACH, STORE_RELAY
from ..decisions.membership import draw_backoff_s
from ..decisions.store_calls import earliest_call_s
from ..records import FeedUnavailable, PublishedHost, StoreStep
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["CheckedRegistry", "RegistrationChecker"]

# Hosts check their objects within this time after a restore. The registry is needed
# only by hosts that start, and 300 hosts make 100 cheap reads a second.
CHECK_SPREAD_S = 3.0
MAX_BACKOFF_S = 3.0
# How often a host checks whether the store has answered a probe.
RECHECK_INTERVAL_S = 0.25


class CheckedRegistry(Protocol):
    """Look up and write the registration of a host."""

    def is_registered(self, host: PublishedHost) -> bool | FeedUnavailable:
        """Return whether the store has the host's object as it is."""

    def announce(self, host: PublishedHost) -> FeedUnavailable | None:
        """Write where the host listens; return a failure if that is not confirmed."""


@define(kw_only=True, eq=False)
class RegistrationChecker:
    """Check the registration of this host once for each newer era of the store.

    Host registration at a start is the task of `HostRegistrar`. The era may be known
    from the hub only, as a host calls the store seldom. The controller writes no
    region.
    """

    board: Board
    clock: Clock
    rng: Random
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    registry: CheckedRegistry
    own_host: PublishedHost
    name: str = "registration_check"
    watches = (STORE_ERA, SERVER_FEED)
    _checked_era: int | None = field(default=None, init=False)
    _due_s: float | None = field(default=None, init=False)
    _failures: int = field(default=0, init=False)

    def step(self) -> float | None:
        """Check the registration if it is due; return seconds until then."""
        era, now_s = self.board.read(STORE_ERA).era, self.clock.monotonic_s()
        if era is not None:
            era = max(era, self.board.read(SERVER_FEED).era)
        if self._checked_era is None or era is None or era <= self._checked_era:
            self._checked_era = era
            return None
        if self._due_s is None:
            self._due_s = now_s + self.rng.uniform(0.0, CHECK_SPREAD_S)
        if now_s < self._due_s:
            return self._due_s - now_s
        call_s = earliest_call_s(
            self.board.read(STORE_RELAY), self.board.read(STORE_REACH), now_s=now_s
        )
        if call_s is None or now_s < call_s:
            # In an outage only probes test the store.
            return RECHECK_INTERVAL_S
        failure = self._check()
        if failure is not None:
            self._failures += 1
            self.metrics.count("store_failures", self.name)
            pause_s = draw_backoff_s(self._failures, max_s=MAX_BACKOFF_S, rng=self.rng)
            self._due_s = now_s + pause_s
            return pause_s
        self._checked_era, self._due_s, self._failures = era, None, 0
        return 0.0

    def _check(self) -> FeedUnavailable | None:
        self.metrics.count("store_calls", f"{self.name}_read")
        match self.registry.is_registered(self.own_host):
            case FeedUnavailable() as failure:
                return failure
            case True:
                return None
        self.metrics.count("store_calls", "host_announce")
        unwritten = self.registry.announce(self.own_host)
        if unwritten is None:
            step = StoreStep(
                at_wall_s=self.clock.wall_s(),
                feed=self.name,
                evidence="registered again: the restored store had no such object",
            )
            self.event_recorder.record(step)
        return unwritten
