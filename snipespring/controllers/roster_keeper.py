"""Keep this host in the platform's roster and follow the roster."""

from collections.abc import Callable
from random import Random

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import FENCE, PEER_VIEW, PLATFORM_ROSTER, ROSTER, STOP
from ..decisions.membership import change_roster, compact_roster, merge_sightings
from ..frontends.platform import (
    ROSTER_OBJECT,
    Platform,
    decode_roster,
    encode_roster,
)
from ..records import (
    Host,
    HostStep,
    Leaving,
    ObjectAbsent,
    ObjectRead,
    Roster,
    Serving,
)
from ..utils import Clock
from .historian import Historian

__all__ = ["RosterKeeper"]

JOIN_RETRY_MIN_S = 0.05
JOIN_RETRY_MAX_S = 0.5


@define(kw_only=True, eq=False)
class RosterKeeper:
    """Write the roster region; enter this host at start and remove it at stop."""

    board: Board
    clock: Clock
    rng: Random
    platform: Platform
    historian: Historian
    own: Host
    name: str = "roster_keeper"
    watches = (PLATFORM_ROSTER, PEER_VIEW, STOP)

    def step(self) -> float | None:
        """Follow the newest roster, then join it if this incarnation is absent."""
        self._follow()
        roster = self.board.read(ROSTER)
        match self.board.read(STOP):
            case Leaving():
                return None
            case Serving():
                if roster.hosts.get(self.own.host_id) == self.own:
                    return None
                self._change(self._joined)
                return self.rng.uniform(JOIN_RETRY_MIN_S, JOIN_RETRY_MAX_S)

    def leave(self) -> None:
        """Remove this host from the roster; one try, others remove it later."""
        self._change(self._left)

    def _follow(self) -> None:
        seen = merge_sightings(
            self.board.read(PLATFORM_ROSTER), self.board.read(PEER_VIEW).roster
        )
        held = self.board.read(ROSTER)
        if seen is None or seen.version <= held.version:
            return
        roster = decode_roster(seen.content, version=seen.version)
        if roster is None:
            return
        self.board.write(ROSTER, roster, writer=self.name)
        self._record(f"roster {roster.version} has {len(roster.hosts)} hosts")

    def _change(self, change: Callable[[Roster], Roster]) -> None:
        match self.platform.read(ROSTER_OBJECT):
            case ObjectRead(version=version, content=content):
                roster = decode_roster(content, version=version)
            case ObjectAbsent():
                roster = Roster()
            case _:
                return
        if roster is None:
            return
        fenced = self.board.read(FENCE).version
        changed = change(compact_roster(roster, fenced=fenced))
        if changed.hosts == roster.hosts:
            return
        self.platform.write(
            ROSTER_OBJECT, encode_roster(changed), expected=roster.version
        )

    def _joined(self, roster: Roster) -> Roster:
        return change_roster(roster, joined=(self.own,))

    def _left(self, roster: Roster) -> Roster:
        if roster.hosts.get(self.own.host_id) != self.own:
            return roster
        return change_roster(roster, left=(self.own.host_id,))

    def _record(self, evidence: str) -> None:
        event = HostStep(
            at_wall_s=self.clock.wall_s(), host_id=self.own.host_id, evidence=evidence
        )
        self.historian.record(event)
