"""Hold what every controller of a host is built from."""

from random import Random

from attrs import define

from ..blackboard import Board
from ..controllers import EventRecorder, MetricsRecorder
from ..utils import Clock, SystemClock

__all__ = ["Core", "make_core"]


@define(kw_only=True, eq=False)
class Core:
    """Hold the board, the clock, the random source and the records of events."""

    board: Board
    clock: Clock
    rng: Random
    historian: EventRecorder
    accountant: MetricsRecorder


def make_core() -> Core:
    """Return the core of a new process."""
    board = Board()
    return Core(
        board=board,
        clock=SystemClock(),
        rng=Random(),
        historian=EventRecorder(board=board),
        accountant=MetricsRecorder(board=board),
    )
