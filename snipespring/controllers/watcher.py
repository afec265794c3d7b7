"""Watch one object of the platform."""

from attrs import define, evolve

from ..blackboard import Board, Region
from ..frontends.platform import Platform
from ..records import (
    ObjectAbsent,
    ObjectRead,
    ObjectUnchanged,
    PlatformUnavailable,
    ReadResult,
    Sighting,
)
from ..utils import Clock

__all__ = ["Watcher"]

WATCH_WAIT_S = 1.0
RETRY_DELAY_S = 0.5


@define(kw_only=True, eq=False)
class Watcher:
    """Write the latest sighting of one object as the platform gives it."""

    board: Board
    clock: Clock
    platform: Platform
    object_name: str
    region: Region[Sighting | None]

    @property
    def name(self) -> str:
        """Return the writer's name on the blackboard."""
        return self.region.writer

    @property
    def watches(self) -> tuple[()]:
        """Return no region; the platform wakes this controller."""
        return ()

    def step(self) -> float:
        """Wait for a newer version once; return the pause in seconds."""
        held = self.board.read(self.region)
        sent_at_s = self.clock.monotonic_s()
        result = self._call(held)
        seen = _see(result, held, sent_at_s)
        if seen is None:
            return RETRY_DELAY_S
        self.board.write(self.region, seen, writer=self.name)
        return 0.0

    def _call(self, held: Sighting | None) -> ReadResult:
        after = held.version if held is not None else -1
        return self.platform.watch(self.object_name, after=after, wait_s=WATCH_WAIT_S)


def _see(
    result: ReadResult, held: Sighting | None, sent_at_s: float
) -> Sighting | None:
    match result:
        case ObjectRead(version=version, content=content):
            if held is not None and version < held.version:
                return None
            return Sighting(version=version, content=content, as_of_s=sent_at_s)
        case ObjectUnchanged() if held is not None:
            return evolve(held, as_of_s=sent_at_s)
        case ObjectUnchanged() | ObjectAbsent() | PlatformUnavailable():
            return None
