"""Create the objects that all controllers of one process share."""

import logging
from random import Random

from attrs import define

from ..blackboard import Board
from ..controllers import EventRecorder, MetricsRecorder
from ..utils import Clock, SystemClock, limit_retained_memory

__all__ = ["ProcessContext", "make_process_context"]

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class ProcessContext:
    """Group the blackboard, clock, random source, event log and metrics."""

    board: Board
    clock: Clock
    rng: Random
    event_recorder: EventRecorder
    metrics: MetricsRecorder


def make_process_context() -> ProcessContext:
    """Create the context of a new process and limit the memory that it retains."""
    if not limit_retained_memory():
        log.warning("the C library may retain freed memory")
    board = Board()
    return ProcessContext(
        board=board,
        clock=SystemClock(),
        rng=Random(),
        event_recorder=EventRecorder(board=board),
        metrics=MetricsRecorder(board=board),
    )
