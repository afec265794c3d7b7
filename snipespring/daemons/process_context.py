"""Hold what every controller of a host is built from."""

from random import Random

from attrs import define

from ..blackboard import Board
from ..controllers import EventRecorder, MetricsRecorder
from ..utils import Clock, SystemClock

__all__ = ["ProcessContext", "make_process_context"]


@define(kw_only=True, eq=False)
class ProcessContext:
    """Hold the board, the clock, the random source and the records of events."""

    board: Board
    clock: Clock
    rng: Random
    historian: EventRecorder
    accountant: MetricsRecorder


def make_process_context() -> ProcessContext:
    """Return the core of a new process."""
    board = Board()
    return ProcessContext(
        board=board,
        clock=SystemClock(),
        rng=Random(),
        historian=EventRecorder(board=board),
        accountant=MetricsRecorder(board=board),
    )
