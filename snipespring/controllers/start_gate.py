"""Let requests that arrive during a start wait for the first configuration."""

import threading
from typing import Any

from attrs import define, field

from ..blackboard import Board, Region
from ..blackboard.regions import CONFIGURATION, LEASE
from ..records import LeaseHeld
from ..utils import Clock

__all__ = ["StartGate"]

# Most starts have a configuration within this time, and requests of most routes can
# wait for it and still meet their objectives.
MAX_WAIT_S = 0.5
# A host that has no configuration after this time cannot say when it will have one.
START_S = 2.0


@define(kw_only=True, eq=False)
class StartGate:
    """Hold requests until the host knows what it needs; write no region.

    That is a configuration, with its servers, and the lease.
    """

    board: Board
    clock: Clock
    name: str = "start_gate"
    watches: tuple[Region[Any], ...] = (CONFIGURATION, LEASE)
    _opened: threading.Event = field(factory=threading.Event, init=False)
    _started_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Note the time of the start."""
        self._started_s = self.clock.monotonic_s()

    def step(self) -> None:
        """Let the waiting requests go on once they can be served."""
        is_leased = isinstance(self.board.read(LEASE), LeaseHeld)
        if is_leased and self.board.read(CONFIGURATION).servers:
            self._opened.set()

    def wait(self) -> None:
        """Wait until requests can be served, during the start of the process."""
        remaining_s = self._started_s + START_S - self.clock.monotonic_s()
        self._opened.wait(max(0.0, min(MAX_WAIT_S, remaining_s)))
