"""Suspect the servers that fail real work, here or on other hosts."""

from collections.abc import Callable

from attrs import define, field
from immutables import Map

from ..blackboard import Board
from ..blackboard.regions import (
    ANSWER_LOG,
    CONFIGURATION,
    EVIDENCE,
    FLEET_VIEW,
    SERVER_LOADS,
    SERVER_STATES,
)
from ..decisions.domains import count_server_answers, record_answers
from ..decisions.routing import failure_timeout_of, service_load_of
from ..decisions.suspicion import (
    FAILURE_WEIGHT,
    PATH_FAILURE_WEIGHT,
    SUCCESS_WEIGHT,
    record_outcome,
    risk_of,
)
from ..decisions.tallies import OutcomeTally, count_outcomes, list_new_outcomes
from ..records import (
    DomainName,
    HostId,
    OutcomeNotification,
    ServerId,
    ServerStates,
    ServerStep,
)
from ..utils import Clock
from .accountant import Accountant
from .historian import Historian

__all__ = ["ServerJudge"]

TELL_RISK = 0.2  # a success on a server of this risk is worth telling
FAR_SHARE = 0.5  # of an outcome's weight, if it is of another domain


@define(kw_only=True, eq=False)
class ServerJudge:
    """Write the server states: the risk that each server fails grayly."""

    board: Board
    clock: Clock
    historian: Historian
    accountant: Accountant
    host_id: HostId
    domain: DomainName
    tell: Callable[[OutcomeNotification], None]
    name: str = "health_keeper"
    watches = (EVIDENCE,)
    _tallies: Map[ServerId, OutcomeTally] = field(default=Map(), init=False)

    def step(self) -> None:
        """Take in the outcomes since the last round and tell what matters."""
        tallies = count_outcomes(self.board.read(EVIDENCE))
        before, self._tallies = self._tallies, tallies
        for server, new in list_new_outcomes(before, tallies, self._patience_s):
            risk = self._risk(server)
            self._log_answers(server, new.good)
            for _ in range(new.good):
                self._note(server, SUCCESS_WEIGHT)
            for _ in range(new.connect_failures):
                self._note(server, PATH_FAILURE_WEIGHT)
            for _ in range(new.bad):
                self._note(server, FAILURE_WEIGHT)
            if new.bad or (new.good and risk >= TELL_RISK):
                self._tell(server, is_failure=new.bad > 0)

    def hear(self, news: OutcomeNotification) -> None:
        """Take in an outcome on another host."""
        weight = FAILURE_WEIGHT if news.is_failure else SUCCESS_WEIGHT
        if news.domain != self.domain:
            # A server may be gray for the callers of one domain only.
            weight *= FAR_SHARE
        for rules in self.board.read(CONFIGURATION).servers.values():
            for rule in rules:
                if rule.server.instance == news.instance:
                    self._note(rule.server, weight)

    def _patience_s(self, server: ServerId) -> float:
        loads = self.board.read(SERVER_LOADS)
        return failure_timeout_of(service_load_of(loads, server.service))

    def _risk(self, server: ServerId) -> float:
        states = self.board.read(SERVER_STATES)
        return risk_of(states, server, now_s=self.clock.monotonic_s())

    def _note(self, server: ServerId, weight: float) -> None:
        now_s = self.clock.monotonic_s()
        answers = self._count_answers(server, now_s) if weight > 0.0 else 0

        def change(states: ServerStates) -> ServerStates:
            return record_outcome(states, server, weight, now_s=now_s, answers=answers)

        old = self._risk(server)
        self.board.update(SERVER_STATES, change, writer=self.name)
        new = self._risk(server)
        if (old < TELL_RISK) != (new < TELL_RISK):
            self._record(server, old, new)

    def _log_answers(self, server: ServerId, count: int) -> None:
        if not count:
            return
        now_s = self.clock.monotonic_s()
        self.board.update(
            ANSWER_LOG,
            lambda log: record_answers(log, server.instance, count, now_s),
            writer=self.name,
        )

    def _count_answers(self, server: ServerId, now_s: float) -> int:
        """Return the good answers that the hosts of this domain had lately."""
        log = self.board.read(ANSWER_LOG)
        here = count_server_answers(log, server.instance, now_s=now_s)
        return here + self.board.read(FLEET_VIEW).answers.get(server.instance, 0)

    def _tell(self, server: ServerId, *, is_failure: bool) -> None:
        self.tell(
            OutcomeNotification(
                sender=self.host_id,
                domain=self.domain,
                instance=server.instance,
                is_failure=is_failure,
            )
        )

    def _record(self, server: ServerId, old: float, new: float) -> None:
        state = "suspected" if new >= TELL_RISK else "trusted"
        self.accountant.count("server_states", state)
        event = ServerStep(
            at_wall_s=self.clock.wall_s(),
            server=server,
            state=state,
            rule="suspicion",
            evidence=f"risk {old:.2f} before, {new:.2f} after an outcome",
        )
        self.historian.record(event)
