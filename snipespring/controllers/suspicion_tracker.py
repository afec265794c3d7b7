"""Estimate the risk of gray failure of servers by outcomes here and on other hosts."""

from collections.abc import Callable

from attrs import define, field
from immutables import Map

from ..blackboard import Board, Region
from ..blackboard.regions import (
    ANSWER_LOG,
    CONFIGURATION,
    EVIDENCE,
    FAILURE_LOG,
    FLEET_VIEW,
    IDLE_SHED_LOG,
    SERVER_LOADS,
    SERVER_STATES,
)
from ..decisions.domains import count_server_answers, record_answers
from ..decisions.routing import failure_timeout_of, service_load_of
from ..decisions.sheds import blames_server, record_shed, sheds_as_whole
from ..decisions.suspicion import (
    FAILURE_WEIGHT,
    PATH_FAILURE_WEIGHT,
    SUCCESS_WEIGHT,
    record_outcome,
    risk_of,
)
from ..decisions.tallies import OutcomeTally, count_outcomes, list_new_outcomes
from ..records import (
    AnswerLog,
    DomainName,
    HostId,
    OutcomeNotification,
    ServerId,
    ServerStates,
    ServerStep,
)
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["SuspicionTracker"]

# Risk from which a server is suspected; other hosts are then notified of its
# successes as well as of its failures.
SUSPECTED_RISK = 0.2
OTHER_DOMAIN_WEIGHT = 0.5  # factor on the weight of an outcome in another domain


@define(kw_only=True, eq=False)
class SuspicionTracker:
    """Write the server states and the logs of answers and failures."""

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    host_id: HostId
    domain: DomainName
    broadcast_outcome: Callable[[OutcomeNotification], None]
    name: str = "health_keeper"
    watches = (EVIDENCE,)
    _tallies: Map[ServerId, OutcomeTally] = field(default=Map(), init=False)

    def step(self) -> None:
        """Record new outcomes; broadcast failures and successes of suspects."""
        tallies = count_outcomes(self.board.read(EVIDENCE))
        previous, self._tallies = self._tallies, tallies
        for server, new in list_new_outcomes(
            previous, tallies, self._get_failure_timeout_s
        ):
            risk = self._get_risk(server)
            self._log_outcomes(ANSWER_LOG, server, new.good)
            self._log_outcomes(FAILURE_LOG, server, new.bad)
            for _ in range(new.good):
                self._record_outcome(server, SUCCESS_WEIGHT)
            for _ in range(new.connect_failures):
                self._record_outcome(server, PATH_FAILURE_WEIGHT)
            for _ in range(new.bad):
                self._record_outcome(server, FAILURE_WEIGHT)
            for _ in range(new.idle_sheds):
                self._record_idle_shed(server)
            if new.bad or (new.good and risk >= SUSPECTED_RISK):
                self._notify(server, is_failure=new.bad > 0)
            elif new.idle_sheds and not self._sheds_as_whole(server):
                self._notify(server, is_failure=True, is_idle_shed=True)

    def receive_outcome(self, notification: OutcomeNotification) -> None:
        """Record an outcome on another host."""
        weight = FAILURE_WEIGHT if notification.is_failure else SUCCESS_WEIGHT
        if notification.domain != self.domain:
            # A server may have a gray failure for the callers of one domain only.
            weight *= OTHER_DOMAIN_WEIGHT
        for rules in self.board.read(CONFIGURATION).servers.values():
            for rule in rules:
                if rule.server.instance != notification.instance:
                    continue
                if notification.is_idle_shed:
                    self._record_idle_shed(rule.server, weight=weight)
                else:
                    self._record_outcome(rule.server, weight)
                    if notification.is_failure:
                        self._log_outcomes(FAILURE_LOG, rule.server, 1)

    def _record_idle_shed(
        self, server: ServerId, *, weight: float = FAILURE_WEIGHT
    ) -> None:
        """Record a shed with free slots; it counts unless much of the service sheds."""
        now_s = self.clock.monotonic_s()
        log = self.board.update(
            IDLE_SHED_LOG,
            lambda log: record_shed(log, server, now_s=now_s),
            writer=self.name,
        )
        servers = self._list_servers(server)
        if blames_server(log, server, servers, now_s=now_s):
            self.metrics.count("idle_sheds", "counted")
            self._record_outcome(server, weight)
        else:
            self.metrics.count("idle_sheds", "not_counted")

    def _sheds_as_whole(self, server: ServerId) -> bool:
        return sheds_as_whole(
            self.board.read(IDLE_SHED_LOG),
            self._list_servers(server),
            now_s=self.clock.monotonic_s(),
        )

    def _list_servers(self, server: ServerId) -> tuple[ServerId, ...]:
        """Return the configured servers of a server's service."""
        rules = self.board.read(CONFIGURATION).servers.get(server.service, ())
        return tuple(rule.server for rule in rules)

    def _get_failure_timeout_s(self, server: ServerId) -> float:
        loads = self.board.read(SERVER_LOADS)
        return failure_timeout_of(service_load_of(loads, server.service))

    def _get_risk(self, server: ServerId) -> float:
        states = self.board.read(SERVER_STATES)
        return risk_of(states, server, now_s=self.clock.monotonic_s())

    def _record_outcome(self, server: ServerId, weight: float) -> None:
        now_s = self.clock.monotonic_s()
        answers = self._count_answers(server, now_s) if weight > 0.0 else 0

        def change(states: ServerStates) -> ServerStates:
            return record_outcome(states, server, weight, now_s=now_s, answers=answers)

        old = self._get_risk(server)
        self.board.update(SERVER_STATES, change, writer=self.name)
        new = self._get_risk(server)
        if (old < SUSPECTED_RISK) != (new < SUSPECTED_RISK):
            self._record_state_change(server, old, new)

    def _log_outcomes(
        self, region: Region[AnswerLog], server: ServerId, count: int
    ) -> None:
        if not count:
            return
        now_s = self.clock.monotonic_s()
        self.board.update(
            region,
            lambda log: record_answers(log, server.instance, count, now_s),
            writer=self.name,
        )

    def _count_answers(self, server: ServerId, now_s: float) -> int:
        """Return the number of recent good answers to the hosts of this domain."""
        log = self.board.read(ANSWER_LOG)
        own_count = count_server_answers(log, server.instance, now_s=now_s)
        return own_count + self.board.read(FLEET_VIEW).answers.get(server.instance, 0)

    def _notify(
        self, server: ServerId, *, is_failure: bool, is_idle_shed: bool = False
    ) -> None:
        self.broadcast_outcome(
            OutcomeNotification(
                sender=self.host_id,
                domain=self.domain,
                instance=server.instance,
                is_failure=is_failure,
                is_idle_shed=is_idle_shed,
            )
        )

    def _record_state_change(self, server: ServerId, old: float, new: float) -> None:
        state = "suspected" if new >= SUSPECTED_RISK else "trusted"
        self.metrics.count("server_states", state)
        event = ServerStep(
            at_wall_s=self.clock.wall_s(),
            server=server,
            state=state,
            rule="suspicion",
            evidence=f"risk {old:.2f} before and {new:.2f} after an outcome",
        )
        self.event_recorder.record(event)
