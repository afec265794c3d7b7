"""Watch one object of the platform if this host has the watcher role."""

from random import Random

from attrs import define, evolve, field

from ..blackboard import Board, Region
from ..blackboard.regions import PEER_VIEW, ROSTER
from ..decisions.membership import Relay, Watch, decide_watch, draw_backoff_s
from ..frontends.fleet_objects import CONFIGURATION_OBJECT, FleetObjectStore
from ..records import (
    Host,
    ObjectAbsent,
    ObjectRead,
    ObjectUnchanged,
    ObservedObject,
    PlatformUnavailable,
    ReadResult,
)
from ..utils import Clock
from .metrics_recorder import MetricsRecorder

__all__ = ["Watcher"]

WATCH_WAIT_S = 0.5


@define(kw_only=True, eq=False)
class Watcher:
    """Write the latest observed version of one object of the platform."""

    board: Board
    clock: Clock
    rng: Random
    platform: FleetObjectStore
    metrics: MetricsRecorder
    own_host: Host
    object_name: str
    region: Region[ObservedObject | None]
    _failures: int = field(default=0, init=False)

    @property
    def name(self) -> str:
        """Return the name under which this controller writes to the blackboard."""
        return self.region.writer

    @property
    def watches(self) -> tuple[()]:
        """Return no region; the platform wakes this controller."""
        return ()

    def step(self) -> float:
        """Wait for a newer version if this host watches; return seconds to wait."""
        role = decide_watch(
            own_host=self.own_host,
            roster=self.board.read(ROSTER),
            relayed=self._read_relayed(),
            now_s=self.clock.monotonic_s(),
            rng=self.rng,
        )
        match role:
            case Relay(pause_s=pause_s):
                return pause_s
            case Watch(max_backoff_s=max_s):
                return self._watch(max_s)

    def _watch(self, max_backoff_s: float) -> float:
        known = self.board.read(self.region)
        sent_at_s = self.clock.monotonic_s()
        after = known.version if known is not None else -1
        result = self.platform.watch(self.object_name, after=after, wait_s=WATCH_WAIT_S)
        self.metrics.count("platform_calls", "watch")
        observed = _make_observation(result, known, sent_at_s)
        if observed is None:
            self._failures += 1
            return draw_backoff_s(self._failures, max_s=max_backoff_s, rng=self.rng)
        self._failures = 0
        self.board.write(self.region, observed, writer=self.name)
        return 0.0

    def _read_relayed(self) -> ObservedObject | None:
        view = self.board.read(PEER_VIEW)
        if self.object_name == CONFIGURATION_OBJECT:
            return view.configuration
        return view.roster


def _make_observation(
    result: ReadResult, known: ObservedObject | None, sent_at_s: float
) -> ObservedObject | None:
    match result:
        case ObjectRead(version=version, content=content):
            if known is not None and version < known.version:
                return None
            return ObservedObject(version=version, content=content, as_of_s=sent_at_s)
        case ObjectUnchanged() if known is not None:
            return evolve(known, as_of_s=sent_at_s)
        case ObjectUnchanged() | ObjectAbsent() | PlatformUnavailable():
            return None
