"""Acquire, renew or give up this host's lease."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    HOST_STATUSES,
    LEASE,
    PEER_VIEW,
    PLATFORM_CONFIGURATION,
    PLATFORM_ROSTER,
    REFUSED_CONFIGURATION,
    ROSTER,
    STOP_STATE,
)
from ..decisions.membership import decide_lease
from ..records import (
    Host,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    LeaseStep,
    Leaving,
    Versions,
)
from ..utils import Clock
from .historian import EventRecorder
from .observations import read_newest_configuration, read_newest_roster

__all__ = ["LeaseManager"]

CHECK_INTERVAL_S = 0.25


@define(kw_only=True, eq=False)
class LeaseManager:
    """Write the lease region.

    A lease lasts `lease_s` seconds from its latest confirmation. A lease that
    was written as held may have expired since. Readers therefore compare its `until_s`
    with the monotonic clock.
    """

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    own_host: Host
    lease_s: float
    name: str = "lease_keeper"
    watches = (
        PLATFORM_CONFIGURATION,
        PLATFORM_ROSTER,
        PEER_VIEW,
        CONFIGURATION,
        STOP_STATE,
    )

    def step(self) -> float:
        """Update the lease; return seconds until the next check."""
        board = self.board
        state = self._decide()
        self._record_change(board.read(LEASE), state)
        board.write(LEASE, state, writer=self.name)
        return CHECK_INTERVAL_S

    def _decide(self) -> LeaseState:
        board = self.board
        match board.read(STOP_STATE):
            case Leaving(finished=True):
                return LeaseLapsed(reason="the host has finished its work")
            case _:
                pass
        newest_configuration = read_newest_configuration(board)
        newest_roster = read_newest_roster(board)
        roster = board.read(ROSTER)
        configuration = max(
            board.read(CONFIGURATION).version,
            board.read(REFUSED_CONFIGURATION).version,
        )
        return decide_lease(
            own_host=self.own_host,
            effective_versions=Versions(
                configuration=configuration, roster=roster.version
            ),
            observed_configuration=newest_configuration,
            observed_roster=newest_roster,
            roster=roster,
            statuses=board.read(HOST_STATUSES),
            lease_s=self.lease_s,
            now_s=self.clock.monotonic_s(),
        )

    def _record_change(self, old: LeaseState, new: LeaseState) -> None:
        match old, new:
            case LeaseLapsed(), LeaseHeld():
                self._record("lease acquired")
            case LeaseHeld(), LeaseLapsed(reason=reason):
                self._record(f"lease lapsed: {reason}")
            case _:
                return

    def _record(self, evidence: str) -> None:
        event = LeaseStep(at_wall_s=self.clock.wall_s(), evidence=evidence)
        self.event_recorder.record(event)
