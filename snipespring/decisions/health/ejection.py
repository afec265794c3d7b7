"""Decide which servers of a service are ejected, on trial or back."""

from attrs import evolve

from ...records import (
    ActiveEjection,
    ActiveTrial,
    EjectionEntry,
    EvidencePool,
    HealthPolicy,
    PastEjection,
    PooledServer,
    ServerId,
    ServiceRule,
)
from .floors import list_unusable, satisfies_floor
from .path_faults import is_server_fault
from .policies import policy_of
from .scoring import failure_ratio_in_service, score_servers, sum_tallies
from .suspects import list_suspects
from .trials import advance_entry, ejection_duration_s

__all__ = ["EJECTION_LIST_LIFETIME_S", "evaluate_pool"]

EJECTION_LIST_LIFETIME_S = 3.0
CLOCK_DRIFT_MARGIN_S = 0.4
PAST_EJECTION_RETENTION_S = 600.0
REPORTER_RETENTION_S = 120.0
NEW_SERVER = PooledServer()


def evaluate_pool(
    pool: EvidencePool,
    service: ServiceRule,
    servers: frozenset[ServerId],
    *,
    policy: HealthPolicy | None = None,
    may_eject: bool = True,
    now_s: float,
) -> EvidencePool:
    """Return the pool after one round of judgement."""
    policy = policy or policy_of(service.ejection)
    pool = _remove_stale(pool, servers, now_s)
    pool = score_servers(pool, policy, now_s)
    pool = _advance_entries(pool, policy, now_s)
    pool = _restore_floor(pool, service, servers, now_s)
    if not may_eject:
        return pool
    for server_id in list_suspects(pool, policy, len(servers)):
        if is_server_fault(pool, pool.servers[server_id], policy):
            pool = _eject(pool, server_id, service, servers, policy, now_s)
    return pool


def _remove_stale(
    pool: EvidencePool, servers: frozenset[ServerId], now_s: float
) -> EvidencePool:
    for server_id in frozenset(pool.servers) - servers:
        pool = evolve(pool, servers=pool.servers.delete(server_id))
    for server_id in frozenset(pool.entries) - servers:
        pool = _remove_entry(pool, server_id, now_s)
    for host_id, reporter in pool.reporters.items():
        if now_s - reporter.received_s >= REPORTER_RETENTION_S:
            pool = evolve(pool, reporters=pool.reporters.delete(host_id))
    for server_id, freed_s in pool.freed_s.items():
        if now_s - freed_s >= EJECTION_LIST_LIFETIME_S + CLOCK_DRIFT_MARGIN_S:
            pool = evolve(pool, freed_s=pool.freed_s.delete(server_id))
    return pool


def _advance_entries(
    pool: EvidencePool, policy: HealthPolicy, now_s: float
) -> EvidencePool:
    base = failure_ratio_in_service(pool, policy)
    for server_id, entry in pool.entries.items():
        server = pool.servers.get(server_id, NEW_SERVER)
        fresh = sum_tallies(server.fresh.values())
        cleared = pool.servers.set(server_id, NEW_SERVER)
        pool = evolve(pool, servers=cleared)
        match advance_entry(entry, fresh, policy, baseline=base, now_s=now_s):
            case PastEjection() as returned:
                pool = _remove_entry(pool, server_id, now_s)
                pool = evolve(
                    pool, past_ejections=pool.past_ejections.set(server_id, returned)
                )
            case ActiveEjection() | ActiveTrial() as following:
                pool = evolve(pool, entries=pool.entries.set(server_id, following))
    return pool


def _restore_floor(
    pool: EvidencePool, service: ServiceRule, servers: frozenset[ServerId], now_s: float
) -> EvidencePool:
    out = list_unusable(pool, now_s)
    newest_first = sorted(
        pool.entries, key=lambda server_id: -pool.entries[server_id].since_s
    )
    for server_id in newest_first:
        if satisfies_floor(servers, out.union(pool.entries), service.floor):
            return pool
        if server_id not in out:
            pool = _remove_entry(pool, server_id, now_s)
    return pool


def _eject(
    pool: EvidencePool,
    server_id: ServerId,
    service: ServiceRule,
    servers: frozenset[ServerId],
    policy: HealthPolicy,
    now_s: float,
) -> EvidencePool:
    out = list_unusable(pool, now_s)
    taken = out.union(pool.entries, pool.freed_s, (server_id,))
    if not satisfies_floor(servers, taken, service.floor):
        return pool
    entry = _make_entry(pool, server_id, service, policy, now_s)
    return evolve(
        pool,
        entries=pool.entries.set(server_id, entry),
        servers=pool.servers.set(server_id, NEW_SERVER),
    )


def _make_entry(
    pool: EvidencePool,
    server_id: ServerId,
    service: ServiceRule,
    policy: HealthPolicy,
    now_s: float,
) -> EjectionEntry:
    returned = pool.past_ejections.get(server_id)
    repeated = (
        returned is not None and now_s - returned.ended_s < PAST_EJECTION_RETENTION_S
    )
    count = returned.count + 1 if returned is not None and repeated else 1
    hold_s = ejection_duration_s(count, policy)
    reason = _describe_ejection(pool.servers[server_id], service, policy, hold_s)
    return ActiveEjection(
        reason=reason, since_s=now_s, until_s=now_s + hold_s, count=count
    )


def _describe_ejection(
    server: PooledServer, service: ServiceRule, policy: HealthPolicy, hold_s: float
) -> str:
    tally = sum_tallies(server.suspicion.values())
    preference = type(service.ejection).__name__
    return (
        f"{tally.bad:.0f} of {tally.good + tally.bad:.0f} attempts bad, "
        f"others {server.baseline_failure_ratio:.1%}, "
        f"score {server.score:.1f} of {policy.ejection_score:.1f}, "
        f"{len(server.suspicion)} reporters, {preference}, held {hold_s:g} s"
    )


def _remove_entry(
    pool: EvidencePool, server_id: ServerId, now_s: float
) -> EvidencePool:
    return evolve(
        pool,
        entries=pool.entries.delete(server_id),
        freed_s=pool.freed_s.set(server_id, now_s),
    )
