"""Pool the evidence of all hosts and keep the ejection lists of some services."""

from functools import partial

from attrs import define, evolve

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION, FENCE, HEALTH_POOLS, LEASE, ROSTER
from ..decisions.health import (
    add_report,
    evaluate_pool,
    have_earlier_leases_ended,
    make_ejection_list,
    policy_of,
    renew_pool,
)
from ..records import (
    ActiveEjection,
    Configuration,
    EjectionList,
    EvidencePool,
    EvidencePools,
    EvidenceReport,
    Host,
    Refused,
    ServerId,
    ServiceName,
)
from ..utils import Clock
from .metrics_recorder import MetricsRecorder

__all__ = ["HealthEvaluator"]

EVALUATION_INTERVAL_S = 0.25


@define(kw_only=True, eq=False)
class HealthEvaluator:
    """Write the pools of the services whose list this host keeps."""

    board: Board
    clock: Clock
    accountant: MetricsRecorder
    own_host: Host
    name: str = "health_judge"
    watches = ()

    def step(self) -> float:
        """Judge every service with reports; return seconds until the next round."""
        cfg = self.board.read(CONFIGURATION)
        for service in self.board.read(HEALTH_POOLS).by_service:
            added = self.board.transact(
                HEALTH_POOLS,
                partial(self._evaluate, cfg=cfg, name=service),
                writer=self.name,
            )
            if added:
                self.accountant.count("ejections", service, added)
        return EVALUATION_INTERVAL_S

    def answer(self, report: EvidenceReport) -> EjectionList | Refused:
        """Take a report in and answer with the list of its service."""
        return self.board.transact(
            HEALTH_POOLS,
            lambda pools: self._add_report(pools, report),
            writer=self.name,
        )

    def _evaluate(
        self, pools: EvidencePools, *, cfg: Configuration, name: ServiceName
    ) -> tuple[EvidencePools, int]:
        now_s = self.clock.monotonic_s()
        pool = self._renew_pool(pools, name, now_s)
        service = cfg.services.get(name)
        if pool is None or service is None:
            return _remove_pool(pools, name), 0
        judged = evaluate_pool(
            pool,
            service,
            frozenset(rule.server for rule in cfg.servers.get(name, ())),
            policy=policy_of(service.ejection),
            may_eject=have_earlier_leases_ended(pool.tenure, self.board.read(FENCE)),
            now_s=now_s,
        )
        added = len(_list_ejected(judged) - _list_ejected(pool))
        return _set_pool(pools, name, judged), added

    def _add_report(
        self, pools: EvidencePools, report: EvidenceReport
    ) -> tuple[EvidencePools, EjectionList | Refused]:
        now_s = self.clock.monotonic_s()
        name = report.service
        pool = self._renew_pool(pools, name, now_s)
        service = self.board.read(CONFIGURATION).services.get(name)
        if pool is None or service is None:
            refused = Refused(reason=f"not the holder of the list of {name}")
            return _remove_pool(pools, name), refused
        pool = add_report(pool, report, now_s)
        policy = policy_of(service.ejection)
        reply = make_ejection_list(pool, name, policy, now_s)
        missing = report.sender not in pool.reporters
        return _set_pool(pools, name, pool), evolve(reply, wants_complete=missing)

    def _renew_pool(
        self, pools: EvidencePools, name: ServiceName, now_s: float
    ) -> EvidencePool | None:
        return renew_pool(
            pools.by_service.get(name),
            own_host=self.own_host,
            service=name,
            roster=self.board.read(ROSTER),
            lease=self.board.read(LEASE),
            now_s=now_s,
        )


def _list_ejected(pool: EvidencePool) -> frozenset[ServerId]:
    return frozenset(
        server
        for server, entry in pool.entries.items()
        if isinstance(entry, ActiveEjection)
    )


def _set_pool(
    pools: EvidencePools, name: ServiceName, pool: EvidencePool
) -> EvidencePools:
    return evolve(pools, by_service=pools.by_service.set(name, pool))


def _remove_pool(pools: EvidencePools, name: ServiceName) -> EvidencePools:
    if name not in pools.by_service:
        return pools
    return evolve(pools, by_service=pools.by_service.delete(name))
