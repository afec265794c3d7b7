"""Follow the platform's roster, join and leave it, and remove silent hosts."""

import threading
from collections.abc import Callable
from random import Random

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import (
    FENCE,
    HOST_CONTACTS,
    HOST_STATUSES,
    PEER_VIEW,
    PLATFORM_ROSTER,
    ROSTER,
    STOP_STATE,
)
from ..decisions.membership import (
    SilenceTimeouts,
    change_roster,
    compact_roster,
    draw_backoff_s,
    list_hosts_to_remove,
)
from ..frontends.fleet_objects import (
    CONFIGURATION_OBJECT,
    ROSTER_OBJECT,
    FleetObjectStore,
    decode_roster,
    encode_roster,
)
from ..records import (
    Host,
    HostId,
    HostStep,
    Leaving,
    ObjectAbsent,
    ObjectConflict,
    ObjectRead,
    ObjectWritten,
    PlatformUnavailable,
    Roster,
    Serving,
    WriteUncertain,
)
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder
from .observations import read_newest_configuration, read_newest_roster

__all__ = ["RosterManager"]

CHECK_INTERVAL_S = 1.0
MAX_JOIN_BACKOFF_S = 10.0
MAX_LEAVE_ATTEMPTS = 8
MAX_LEAVE_BACKOFF_S = 0.5


@define(kw_only=True, eq=False)
class RosterManager:
    """Write the roster region and edit the roster in the platform."""

    board: Board
    clock: Clock
    rng: Random
    platform: FleetObjectStore
    metrics: MetricsRecorder
    event_recorder: EventRecorder
    own_host: Host
    fanout: int
    timeouts: SilenceTimeouts = SilenceTimeouts()
    name: str = "roster_keeper"
    watches = (PLATFORM_ROSTER, PEER_VIEW, STOP_STATE)
    _failures: int = field(default=0, init=False)
    _next_join_s: float = field(default=0.0, init=False)

    def step(self) -> float | None:
        """Read the newest roster, then join it or remove silent hosts.

        Return seconds until the next check, None once this host leaves.
        """
        self._update_roster()
        match self.board.read(STOP_STATE):
            case Leaving():
                return None
            case Serving() if self._is_listed():
                self._failures = 0
                self._remove_silent_hosts()
                return CHECK_INTERVAL_S
            case Serving():
                return self._join()

    def leave(self) -> None:
        """Remove this host from the roster; if that fails, other hosts do so later."""
        pause = threading.Event()
        for attempt in range(MAX_LEAVE_ATTEMPTS):
            if self._change_roster(self._remove_own_host):
                return
            max_s = MAX_LEAVE_BACKOFF_S
            pause.wait(draw_backoff_s(attempt, max_s=max_s, rng=self.rng))

    def _is_listed(self) -> bool:
        return self.board.read(ROSTER).hosts.get(self.own_host.host_id) == self.own_host

    def _join(self) -> float:
        """Try to join, unless the latest try is too recent; return seconds to wait."""
        remaining_s = self._next_join_s - self.clock.monotonic_s()
        if remaining_s > 0:
            return remaining_s
        has_joined = self._knows_configuration() and self._change_roster(
            self._add_own_host
        )
        self._failures = 0 if has_joined else self._failures + 1
        # Wait after joining: the observed roster lists this host only some time later.
        pause_s = CHECK_INTERVAL_S if has_joined else self._backoff_s()
        self._next_join_s = self.clock.monotonic_s() + pause_s
        return pause_s

    def _backoff_s(self) -> float:
        return draw_backoff_s(self._failures, max_s=MAX_JOIN_BACKOFF_S, rng=self.rng)

    def _knows_configuration(self) -> bool:
        """Return whether this host has observed the platform's current configuration.

        Until then it must not join the roster: its status reports would confirm only
        an older version of the configuration.
        """
        self.metrics.count("platform_calls", "read")
        observed = read_newest_configuration(self.board)
        match self.platform.read(CONFIGURATION_OBJECT):
            case ObjectAbsent():
                return True
            case ObjectRead(version=version):
                return observed is not None and observed.version >= version
            case _:
                return False

    def _remove_silent_hosts(self) -> None:
        silent = list_hosts_to_remove(
            own_host=self.own_host,
            roster=self.board.read(ROSTER),
            statuses=self.board.read(HOST_STATUSES),
            contacts=self.board.read(HOST_CONTACTS),
            fanout=self.fanout,
            timeouts=self.timeouts,
            now_s=self.clock.monotonic_s(),
        )
        if silent and self._change_roster(
            lambda roster: self._remove_hosts(roster, silent)
        ):
            for host_id in silent:
                self._record(f"removed {host_id}: no contact")

    def _update_roster(self) -> None:
        observed = read_newest_roster(self.board)
        active = self.board.read(ROSTER)
        if observed is None or observed.version <= active.version:
            return
        roster = decode_roster(observed.content, version=observed.version)
        if roster is None:
            self.metrics.count("malformed", "roster")
            return
        self.board.write(ROSTER, roster, writer=self.name)
        self._record(f"roster {roster.version} active with {len(roster.hosts)} hosts")

    def _change_roster(self, change: Callable[[Roster], Roster]) -> bool:
        """Write a changed roster; return whether the platform has stored the change."""
        roster = self._read_roster()
        if roster is None:
            return False
        fenced = self.board.read(FENCE).version
        changed = change(compact_roster(roster, fenced=fenced))
        if changed.hosts == roster.hosts:
            return True
        self.metrics.count("platform_calls", "write")
        result = self.platform.write(
            ROSTER_OBJECT, encode_roster(changed), expected=roster.version
        )
        match result:
            case ObjectWritten():
                return True
            case ObjectConflict() | PlatformUnavailable() | WriteUncertain():
                # The next attempt reads the roster again. That also shows whether a
                # write whose answer was lost has taken effect.
                return False

    def _read_roster(self) -> Roster | None:
        self.metrics.count("platform_calls", "read")
        match self.platform.read(ROSTER_OBJECT):
            case ObjectRead(version=version, content=content):
                return decode_roster(content, version=version)
            case ObjectAbsent():
                return Roster()
            case _:
                return None

    def _add_own_host(self, roster: Roster) -> Roster:
        return change_roster(roster, joined=(self.own_host,))

    def _remove_own_host(self, roster: Roster) -> Roster:
        if roster.hosts.get(self.own_host.host_id) != self.own_host:
            return roster
        return change_roster(roster, left=(self.own_host.host_id,))

    def _remove_hosts(self, roster: Roster, silent: tuple[HostId, ...]) -> Roster:
        # Keep a host that has joined again since the roster version known to this host.
        known_hosts = self.board.read(ROSTER).hosts
        removed = tuple(
            host_id
            for host_id in silent
            if host_id in roster.hosts
            and roster.hosts.get(host_id) == known_hosts.get(host_id)
        )
        return change_roster(roster, removed=removed) if removed else roster

    def _record(self, evidence: str) -> None:
        event = HostStep(
            at_wall_s=self.clock.wall_s(),
            host_id=self.own_host.host_id,
            evidence=evidence,
        )
        self.event_recorder.record(event)
