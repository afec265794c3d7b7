"""Report this host's own state."""

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION, OWN_STATUS, ROSTER, STOP
from ..records import Host, HostStatus, Leaving, StopState, Versions

__all__ = ["StatusKeeper"]

REPORT_INTERVAL_S = 0.5


@define(kw_only=True, eq=False)
class StatusKeeper:
    """Write this host's status with a sequence that rises each round."""

    board: Board
    own: Host
    name: str = "status_keeper"
    watches = (CONFIGURATION, ROSTER, STOP)
    _sequence: int = field(default=0, init=False)

    def step(self) -> float:
        """Write the status; return seconds until the next report."""
        self._sequence += 1
        versions = Versions(
            configuration=self.board.read(CONFIGURATION).version,
            roster=self.board.read(ROSTER).version,
        )
        status = HostStatus(
            host_id=self.own.host_id,
            incarnation=self.own.incarnation,
            sequence=self._sequence,
            versions=versions,
            leaving=_is_leaving(self.board.read(STOP)),
        )
        self.board.write(OWN_STATUS, status, writer=self.name)
        return REPORT_INTERVAL_S


def _is_leaving(stop: StopState) -> bool:
    return isinstance(stop, Leaving)
