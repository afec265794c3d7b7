"""Create the objects that all controllers of one process share."""

from random import Random

from attrs import define

from ..blackboard import Board
from ..controllers import EventRecorder, MetricsRecorder
from ..utils import Clock, SystemClock

__all__ = ["ProcessContext", "make_process_context"]


@define(kw_only=True, eq=False)
class ProcessContext:
    """Group the blackboard, clock, random source, event log and metrics."""

    board: Board
    clock: Clock
    rng: Random
    event_recorder: EventRecorder
    metrics: MetricsRecorder


def make_process_context() -> ProcessContext:
    """Create the context of a new process."""
    board = Board()
    return ProcessContext(
        board=board,
        clock=SystemClock(),
        rng=Random(),
        event_recorder=EventRecorder(board=board),
        metrics=MetricsRecorder(board=board),
    )
