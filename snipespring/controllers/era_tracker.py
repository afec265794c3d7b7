"""Record the era of the store, which rises whenever it returns from a backup."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import STORE_ERA
from ..records import StoreEra, StoreStep
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["EraTracker"]


@define(kw_only=True, eq=False)
class EraTracker:
    """Write the region of the store's era from the answers to all calls."""

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    name: str = "store_era"

    def record(self, era: int) -> int:
        """Record the era of an answer; return the newest one."""
        known = self.board.read(STORE_ERA).era
        if known is not None and era <= known:
            return known
        known = self.board.transact(
            STORE_ERA, lambda old: _advance(old, era), writer=self.name
        )
        if known is not None and era > known:
            self.metrics.count("store_restores")
            step = StoreStep(
                at_wall_s=self.clock.wall_s(),
                feed=self.name,
                evidence=f"store restored from a backup: era {era} after {known}",
            )
            self.event_recorder.record(step)
        return self.board.read(STORE_ERA).era or 0


def _advance(old: StoreEra, era: int) -> tuple[StoreEra, int | None]:
    """Return the newest era, and the one known before."""
    if old.era is not None and era <= old.era:
        return old, old.era
    return StoreEra(era=era), old.era
