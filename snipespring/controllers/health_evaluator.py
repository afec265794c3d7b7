"""Evaluate the evidence of all hosts for the services assigned to this host."""

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
    """Write the evidence pools of the services whose ejection list this host owns."""

    board: Board
    clock: Clock
    metrics: MetricsRecorder
    own_host: Host
    name: str = "health_judge"
    watches = ()

    def step(self) -> float:
        """Evaluate every service with reports; return seconds until the next round."""
        cfg = self.board.read(CONFIGURATION)
        for service in self.board.read(HEALTH_POOLS).by_service:
            ejected_count = self.board.transact(
                HEALTH_POOLS,
                partial(self._evaluate, cfg=cfg, name=service),
                writer=self.name,
            )
            if ejected_count:
                self.metrics.count("ejections", service, ejected_count)
        return EVALUATION_INTERVAL_S

    def answer(self, report: EvidenceReport) -> EjectionList | Refused:
        """Add a report to its pool and answer with the ejection list of its service."""
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
        evaluated = evaluate_pool(
            pool,
            service,
            frozenset(rule.server for rule in cfg.servers.get(name, ())),
            policy=policy_of(service.ejection),
            may_eject=have_earlier_leases_ended(pool.tenure, self.board.read(FENCE)),
            now_s=now_s,
        )
        ejected_count = len(_list_ejected(evaluated) - _list_ejected(pool))
        return _set_pool(pools, name, evaluated), ejected_count

    def _add_report(
        self, pools: EvidencePools, report: EvidenceReport
    ) -> tuple[EvidencePools, EjectionList | Refused]:
        now_s = self.clock.monotonic_s()
        name = report.service
        pool = self._renew_pool(pools, name, now_s)
        service = self.board.read(CONFIGURATION).services.get(name)
        if pool is None or service is None:
            refused = Refused(
                reason=f"this host does not hold the ejection list of {name}"
            )
            return _remove_pool(pools, name), refused
        pool = add_report(pool, report, now_s)
        policy = policy_of(service.ejection)
        reply = make_ejection_list(pool, name, policy, now_s)
        is_new_sender = report.sender not in pool.reporters
        return _set_pool(pools, name, pool), evolve(reply, wants_complete=is_new_sender)

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
