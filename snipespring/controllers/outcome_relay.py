"""Tell other hosts how requests to servers ended."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from ..blackboard import Board, Region
from ..blackboard.regions import (
    DOMAIN_HUBS,
    FLEET_VIEW,
    PENDING_OUTCOMES,
)
from ..decisions.domains import (
    CollectOutcomes,
    SendDirectly,
    SendToHub,
    add_outcomes,
    choose_outcome_route,
    list_other_hubs,
    list_outcome_recipients,
)
from ..frontends.datagrams import DatagramSender
from ..records import (
    Address,
    OutcomeBatch,
    OutcomeNotification,
    PendingOutcomes,
    PublishedHost,
)
from ..utils import Clock
from .peers import is_sent_by, read_known_hosts

__all__ = ["OutcomeRelay"]

FLUSH_INTERVAL_S = 0.05


@define(kw_only=True, eq=False)
class OutcomeRelay:
    """Write the pending outcomes, which the hub of a large domain sends on together.

    `on_outcome` is called with each outcome on another host.
    """

    board: Board
    clock: Clock
    datagrams: DatagramSender
    own_host: PublishedHost
    on_outcome: Callable[[OutcomeNotification], None]
    name: str = "outcome_relay"
    watches: tuple[Region[Any], ...] = field(default=(PENDING_OUTCOMES,), init=False)
    _next_flush_s: float = field(default=0.0, init=False)

    def step(self) -> float | None:
        """Send the pending outcomes on; return seconds until the next may be sent."""
        if not self.board.read(PENDING_OUTCOMES).outcomes:
            return None
        now_s = self.clock.monotonic_s()
        if now_s < self._next_flush_s:
            return self._next_flush_s - now_s
        self._next_flush_s = now_s + FLUSH_INTERVAL_S
        pending = self.board.transact(
            PENDING_OUTCOMES, lambda old: (PendingOutcomes(), old), writer=self.name
        )
        hosts, view = (
            read_known_hosts(self.board, self.own_host),
            self.board.read(FLEET_VIEW),
        )
        recipients = list_outcome_recipients(hosts, view, self.own_host)
        self._send(recipients, pending.outcomes)
        own_domain = self.own_host.domain
        own = tuple(found for found in pending.outcomes if found.domain == own_domain)
        if own:
            self._send(list_other_hubs(hosts, view, self.own_host), own)
        return None

    def broadcast(self, outcome: OutcomeNotification) -> None:
        """Tell the hosts of this domain, and those of the others through a hub."""
        hosts, view = (
            read_known_hosts(self.board, self.own_host),
            self.board.read(FLEET_VIEW),
        )
        match self._choose_route(hosts):
            case SendDirectly(recipients=recipients):
                others = list_other_hubs(hosts, view, self.own_host)
                addresses = (host.peers for host in (*recipients, *others))
                self.datagrams.send_all(tuple(addresses), outcome)
            case SendToHub(hub=hub):
                self.datagrams.send(hub.peers, outcome)
            case CollectOutcomes():
                self._collect((outcome,))

    def receive(self, outcome: OutcomeNotification, sender: Address) -> None:
        """Record an outcome on another host, and pass it on where that is due."""
        self.on_outcome(outcome)
        is_foreign = outcome.domain != self.own_host.domain
        if not (is_foreign or self._is_first_hub()):
            return
        if not is_sent_by(self.board, outcome.sender, sender):
            return
        match self._choose_route(read_known_hosts(self.board, self.own_host)):
            case CollectOutcomes():
                self._collect((outcome,))
            case SendDirectly(recipients=recipients) if is_foreign:
                addresses = tuple(host.peers for host in recipients)
                self.datagrams.send_all(addresses, outcome)
            case SendToHub(hub=hub) if is_foreign:
                batch = OutcomeBatch(
                    sender=outcome.sender, domain=outcome.domain, outcomes=(outcome,)
                )
                self.datagrams.send(hub.peers, batch)
            case _:
                return

    def receive_batch(self, batch: OutcomeBatch, sender: Address) -> None:
        """Record the outcomes that a hub sends on; pass on those of another domain."""
        for outcome in batch.outcomes:
            if outcome.sender != self.own_host.host_id:
                self.on_outcome(outcome)
        if batch.domain == self.own_host.domain:
            return
        is_from_hub = is_sent_by(self.board, batch.sender, sender)
        match self._choose_route(read_known_hosts(self.board, self.own_host)):
            case CollectOutcomes():
                self._collect(batch.outcomes)
            case SendDirectly(recipients=recipients) if is_from_hub:
                self._send(recipients, batch.outcomes)
            case SendToHub(hub=hub) if is_from_hub:
                self.datagrams.send(hub.peers, batch)
            case _:
                return

    def _is_first_hub(self) -> bool:
        hubs = self.board.read(DOMAIN_HUBS).hubs
        return bool(hubs) and hubs[0].host_id == self.own_host.host_id

    def _collect(self, outcomes: tuple[OutcomeNotification, ...]) -> None:
        self.board.update(
            PENDING_OUTCOMES,
            lambda pending: add_outcomes(pending, outcomes),
            writer=self.name,
        )

    def _choose_route(
        self, hosts: tuple[PublishedHost, ...]
    ) -> SendDirectly | SendToHub | CollectOutcomes:
        return choose_outcome_route(
            hosts,
            self.board.read(FLEET_VIEW),
            self.board.read(DOMAIN_HUBS),
            self.own_host,
        )

    def _send(
        self,
        recipients: tuple[PublishedHost, ...],
        outcomes: tuple[OutcomeNotification, ...],
    ) -> None:
        batch = OutcomeBatch(
            sender=self.own_host.host_id, domain=self.own_host.domain, outcomes=outcomes
        )
        self.datagrams.send_all(tuple(host.peers for host in recipients), batch)
