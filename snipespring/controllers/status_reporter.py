"""Report the status of this host."""

from attrs import define, evolve, field

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    HOST_CONTACTS,
    LEASE,
    OWN_STATUS,
    ROSTER,
    STOP_STATE,
)
from ..decisions.membership import SilenceTimeouts, list_silent_peers
from ..records import (
    Host,
    HostId,
    HostStatus,
    HostView,
    LeaseHeld,
    LeaseLapsed,
    Leaving,
    StopState,
    Versions,
)
from ..utils import Clock

__all__ = ["StatusReporter"]

REPORT_INTERVAL_S = 0.5


@define(kw_only=True, eq=False)
class StatusReporter:
    """Write this host's status; its sequence grows whenever its content changes."""

    board: Board
    clock: Clock
    own_host: Host
    timeouts: SilenceTimeouts = SilenceTimeouts()
    name: str = "status_keeper"
    watches = (CONFIGURATION, ROSTER, STOP_STATE)
    _sequence: int = field(default=0, init=False)

    def step(self) -> float:
        """Write the status; return seconds until the next report."""
        # Read the time first, so that it is never later than the versions.
        as_of_s = self.clock.monotonic_s()
        versions = Versions(
            configuration=self.board.read(CONFIGURATION).version,
            roster=self.board.read(ROSTER).version,
        )
        status = HostStatus(
            host_id=self.own_host.host_id,
            incarnation=self.own_host.incarnation,
            sequence=0,
            versions=versions,
            leaving=_is_leaving(self.board.read(STOP_STATE)),
            unheard=self._list_silent_peers(),
            serving=self._is_serving(),
        )
        view = HostView(status=self._set_sequence(status), as_of_s=as_of_s)
        self.board.write(OWN_STATUS, view, writer=self.name)
        return REPORT_INTERVAL_S

    def _set_sequence(self, status: HostStatus) -> HostStatus:
        """Set the sequence, a new one only if the content has changed."""
        last = self.board.read(OWN_STATUS)
        if last is not None and evolve(last.status, sequence=0) == status:
            return last.status
        self._sequence += 1
        return evolve(status, sequence=self._sequence)

    def _is_serving(self) -> bool:
        match self.board.read(LEASE):
            case LeaseHeld(until_s=until_s):
                return self.clock.monotonic_s() < until_s
            case LeaseLapsed():
                return False

    def _list_silent_peers(self) -> tuple[HostId, ...]:
        return list_silent_peers(
            self.board.read(HOST_CONTACTS),
            self.board.read(ROSTER),
            silence_s=self.timeouts.silence_s,
            now_s=self.clock.monotonic_s(),
        )


def _is_leaving(stop: StopState) -> bool:
    return isinstance(stop, Leaving)
