"""Combine ejection lists and local evidence into the states of backend servers."""

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    EJECTION_LISTS,
    EVIDENCE,
    LOCAL_HEALTH,
    SERVER_LOADS,
    SERVER_STATES,
)
from ..decisions.health import (
    StateChange,
    combine_states,
    effective_states,
    list_changes,
    list_services,
    make_server_reports,
    remove_services,
    update_avoidance,
)
from ..records import (
    Configuration,
    EvidenceReport,
    Host,
    LocalHealth,
    ServerId,
    ServerStep,
    ServiceName,
    ServiceRule,
)
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["ServerStateUpdater"]

CHECK_INTERVAL_S = 0.25


@define(kw_only=True, eq=False)
class ServerStateUpdater:
    """Write the server states and the servers that this host itself avoids."""

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    own_host: Host
    name: str = "health_keeper"
    watches = (EJECTION_LISTS,)
    _sequence: int = field(default=0, init=False)

    def step(self) -> float:
        """Combine lists and local evidence; return seconds until the next round."""
        now_s = self.clock.monotonic_s()
        cfg = self.board.read(CONFIGURATION)
        local = self._update_local_health(cfg, now_s)
        self.board.write(LOCAL_HEALTH, local, writer=self.name)
        lists = self.board.read(EJECTION_LISTS)
        old = self.board.read(SERVER_STATES)
        new = combine_states(lists, local, now_s)
        self.board.write(SERVER_STATES, new, writer=self.name)
        for change in list_changes(old, new, lists, now_s):
            self._record_change(cfg, change)
        return CHECK_INTERVAL_S

    def _update_local_health(self, cfg: Configuration, now_s: float) -> LocalHealth:
        local = remove_services(self.board.read(LOCAL_HEALTH), frozenset(cfg.services))
        for name in list_services(self.board.read(EVIDENCE)):
            service = cfg.services.get(name)
            if service is None:
                continue
            local = update_avoidance(
                local,
                self._make_own_report(service.name, now_s),
                service,
                frozenset(rule.server for rule in cfg.servers.get(service.name, ())),
                ejected=self._list_ejected(service, now_s),
                now_s=now_s,
            )
        return local

    def _make_own_report(self, service: ServiceName, now_s: float) -> EvidenceReport:
        self._sequence += 1
        return EvidenceReport(
            sender=self.own_host.host_id,
            incarnation=self.own_host.incarnation,
            sequence=self._sequence,
            domain=self.own_host.domain,
            service=service,
            servers=make_server_reports(
                self.board.read(EVIDENCE), self.board.read(SERVER_LOADS), service, now_s
            ),
        )

    def _list_ejected(self, service: ServiceRule, now_s: float) -> frozenset[ServerId]:
        copy = self.board.read(EJECTION_LISTS).by_service.get(service.name)
        return frozenset(effective_states(copy, now_s)) if copy else frozenset()

    def _record_change(self, cfg: Configuration, change: StateChange) -> None:
        state = type(change.state).__name__
        service = cfg.services.get(change.server.service)
        preference = type(service.ejection).__name__ if service else "no rule"
        event = ServerStep(
            at_wall_s=self.clock.wall_s(),
            server=change.server,
            state=state,
            rule=f"health: {preference}",
            evidence=change.evidence,
        )
        self.event_recorder.record(event)
        self.metrics.count("server_states", state)
