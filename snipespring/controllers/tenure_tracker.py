"""Track since when this host has owned idempotency keys that callers chose."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import FENCE, ROSTER, ROSTER_TENURE
from ..decisions.claims import advance_tenure
from ..records import Host
from ..utils import Clock

__all__ = ["TenureTracker"]

CHECK_INTERVAL_S = 5.0


@define(kw_only=True, eq=False)
class TenureTracker:
    """Write the roster tenure region."""

    board: Board
    clock: Clock
    own_host: Host
    name: str = "tenure_keeper"
    watches = (ROSTER, FENCE)

    def step(self) -> float:
        """Update the tenure; return seconds until the next check."""
        tenure = advance_tenure(
            self.board.read(ROSTER_TENURE),
            own_host=self.own_host,
            roster=self.board.read(ROSTER),
            fence=self.board.read(FENCE),
            now_s=self.clock.monotonic_s(),
        )
        self.board.write(ROSTER_TENURE, tenure, writer=self.name)
        return CHECK_INTERVAL_S
