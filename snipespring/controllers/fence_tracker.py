"""Track the fence: all leases under earlier roster versions than it have ended."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import FENCE, HOST_STATUSES, ROSTER
from ..decisions.membership import advance_fence
from ..records import Host
from ..utils import Clock

__all__ = ["FenceTracker"]

CHECK_INTERVAL_S = 0.5


@define(kw_only=True, eq=False)
class FenceTracker:
    """Write the fence region.

    `lease_s` is the duration of a lease in seconds, and `drift_margin_s` is added to it
    because the clocks of hosts do not run equally fast.
    """

    board: Board
    clock: Clock
    own_host: Host
    lease_s: float
    drift_margin_s: float
    name: str = "fence_keeper"
    watches = (ROSTER,)

    def step(self) -> float:
        """Advance the fence; return seconds until the next check."""
        fence = advance_fence(
            self.board.read(FENCE),
            own_host=self.own_host,
            roster=self.board.read(ROSTER),
            statuses=self.board.read(HOST_STATUSES),
            lease_s=self.lease_s,
            drift_margin_s=self.drift_margin_s,
            now_s=self.clock.monotonic_s(),
        )
        self.board.write(FENCE, fence, writer=self.name)
        return CHECK_INTERVAL_S
