"""Maintain the lease while the store confirms the configuration."""

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION, CONFIGURATION_FEED, LEASE
from ..records import LeaseHeld, LeaseLapsed, LeaseState, LeaseStep
from ..utils import Clock
from .historian import EventRecorder

__all__ = ["StoreLeaseManager"]

NEVER_CONFIRMED = "the store has not confirmed a configuration since the start"


@define(kw_only=True, eq=False)
class StoreLeaseManager:
    """Write the lease region.

    A lease ends `lease_s` seconds after the time at which the latest query that the
    store answered was sent. A lease that was written as held may have expired since.
    Readers therefore compare its `until_s` with the monotonic clock.
    """

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    lease_s: float
    name: str = "lease_keeper"
    watches = (CONFIGURATION_FEED, CONFIGURATION)

    def step(self) -> float | None:
        """Update the lease; return seconds until it lapses."""
        now_s = self.clock.monotonic_s()
        old, new = self.board.read(LEASE), self._decide(now_s)
        if new != old:
            self.board.write(LEASE, new, writer=self.name)
        self._record_change(old, new)
        match new:
            case LeaseHeld(until_s=until_s):
                return until_s - now_s
            case LeaseLapsed():
                return None

    def _decide(self, now_s: float) -> LeaseState:
        feed = self.board.read(CONFIGURATION_FEED)
        if feed.confirmed_s is None or self.board.read(CONFIGURATION).version == 0:
            return LeaseLapsed(reason=NEVER_CONFIRMED)
        newest = max((item.version for item in feed.items.values()), default=0)
        if newest > self.board.read(CONFIGURATION).version:
            return LeaseLapsed(reason=f"configuration {newest} is not active yet")
        until_s = feed.confirmed_s + self.lease_s
        if now_s < until_s:
            return LeaseHeld(until_s=until_s)
        age_s = now_s - feed.confirmed_s
        return LeaseLapsed(
            reason=f"the store last confirmed the configuration {age_s:.1f} s ago"
        )

    def _record_change(self, old: LeaseState, new: LeaseState) -> None:
        match old, new:
            case LeaseLapsed(), LeaseHeld():
                evidence = "lease acquired"
            case LeaseHeld(), LeaseLapsed(reason=reason):
                evidence = f"lease lapsed: {reason}"
            case _:
                return
        event = LeaseStep(at_wall_s=self.clock.wall_s(), evidence=evidence)
        self.event_recorder.record(event)
