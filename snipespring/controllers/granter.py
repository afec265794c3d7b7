"""Answer the queries of this domain's hosts for admissions, as the first hub."""

import logging
from collections import Counter
from typing import Any

from attrs import define, field

from ..blackboard import Board, Region
from ..blackboard.regions import (
    CONFIGURATION,
    DOMAIN_HUBS,
    DOMAIN_REPORTS,
    GRANT_LOG,
    HOST_FEED,
    HUB_TENURE,
)
from ..decisions.domains import (
    HubKnowledge,
    answer_query,
    is_hub,
    make_undecided_answer,
    prune_grants,
    renew_tenure,
)
from ..frontends.datagrams import DatagramSender
from ..records import (
    Address,
    AdmissionAnswer,
    AdmissionQuery,
    HubTenure,
    PublishedHost,
)
from ..settings import GatewayLimitSettings
from ..utils import Clock
from .metrics_recorder import MetricsRecorder
from .peers import is_sent_by, read_known_hosts
from .usage_limiter import read_tolerance

__all__ = ["Granter"]

CHECK_INTERVAL_S = 0.25

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class Granter:
    """Write the grant log and the time since when this host is the first hub.

    Queries are decided on the threads that receive them, without blocking.
    """

    board: Board
    clock: Clock
    datagrams: DatagramSender
    metrics: MetricsRecorder
    limits: GatewayLimitSettings
    own_host: PublishedHost
    name: str = "granter"
    watches: tuple[Region[Any], ...] = field(default=(DOMAIN_HUBS,), init=False)

    def step(self) -> float:
        """Renew the tenure and drop old grants; return seconds until the next round."""
        now_s = self.clock.monotonic_s()
        hubs = self.board.read(DOMAIN_HUBS).hubs
        # Before the first listing every host takes itself for the only one.
        is_listed = self.board.read(HOST_FEED).confirmed_s is not None
        is_first = bool(hubs) and hubs[0].host_id == self.own_host.host_id
        old = self.board.read(HUB_TENURE)
        tenure = renew_tenure(
            old,
            is_hub=is_listed and is_hub(hubs, self.own_host.host_id),
            is_first_hub=is_listed and is_first,
            now_s=now_s,
        )
        self.board.write(HUB_TENURE, tenure, writer=self.name)
        if tenure.since_s != old.since_s:
            log.info(
                "admission grants " + ("ended" if tenure.since_s is None else "begun"),
                extra={"domain": self.own_host.domain},
            )
        window_s = read_tolerance(self.board, self.limits).window_s
        self.board.update(
            GRANT_LOG,
            lambda grants: prune_grants(grants, window_s=window_s, now_s=now_s),
            writer=self.name,
        )
        return CHECK_INTERVAL_S

    def receive(self, query: AdmissionQuery, sender: Address) -> None:
        """Answer the query of another host."""
        if is_sent_by(self.board, query.sender, sender):
            self.datagrams.send(sender, self.decide(query))

    def decide(self, query: AdmissionQuery) -> AdmissionAnswer:
        """Decide a query of any host of this domain, also of this one."""
        answer = self._decide(query)
        if not answer.is_decided:
            decision = "undecided"
        else:
            decision = "granted" if answer.refusal is None else "refused"
        self.metrics.count("hub_grants", decision)
        return answer

    def _decide(self, query: AdmissionQuery) -> AdmissionAnswer:
        own_id = self.own_host.host_id
        organisations = self.board.read(CONFIGURATION).organisations
        rule = organisations.get(query.usage.organisation)
        tenure: HubTenure = self.board.read(HUB_TENURE)
        if rule is None or tenure.since_s is None:
            return make_undecided_answer(own_id, query)
        hosts = read_known_hosts(self.board, self.own_host)
        knowledge = HubKnowledge(
            domain=self.own_host.domain,
            reports=self.board.read(DOMAIN_REPORTS),
            known_hosts=Counter(host.domain for host in hosts),
        )
        tolerance = read_tolerance(self.board, self.limits)
        return self.board.transact(
            GRANT_LOG,
            lambda grants: answer_query(
                grants,
                query,
                rule,
                tolerance,
                knowledge,
                tenure,
                own_id=own_id,
                now_s=self.clock.monotonic_s(),
            ),
            writer=self.name,
        )
