"""Decide which servers this host avoids because of its own evidence."""

from collections.abc import Set

from attrs import evolve

from ...records import (
    Avoidance,
    EvidenceReport,
    LocalHealth,
    PooledServer,
    ServerId,
    ServiceName,
    ServiceRule,
    Tenure,
)
from .floors import list_unusable, satisfies_floor
from .policies import policy_of
from .pooling import add_report, create_pool
from .scoring import score_servers, sum_tallies
from .suspects import list_suspects

__all__ = ["remove_services", "update_avoidance"]

AVOIDANCE_DURATION_S = 10.0
NEW_SERVER = PooledServer()
LOCAL_TENURE = Tenure(version=0, lease_until_s=0.0)


def update_avoidance(
    local_health: LocalHealth,
    report: EvidenceReport,
    service: ServiceRule,
    servers: frozenset[ServerId],
    *,
    ejected: Set[ServerId],
    now_s: float,
) -> LocalHealth:
    """Return the local health after one evaluation of this host's own evidence."""
    policy = policy_of(service.ejection)
    pool = local_health.pools.get(service.name) or create_pool(LOCAL_TENURE, now_s)
    pool = score_servers(add_report(pool, report, now_s), policy, now_s)
    local_health = _remove_expired(local_health, servers, now_s)
    for server_id in list_suspects(pool, policy, len(servers)):
        avoided = servers.intersection(local_health.avoided)
        excluded = avoided | ejected | list_unusable(pool, now_s) | {server_id}
        if not satisfies_floor(servers, excluded, service.floor):
            continue
        local_health = _add_avoidance(
            local_health, server_id, pool.servers[server_id], now_s
        )
        pool = evolve(pool, servers=pool.servers.set(server_id, NEW_SERVER))
    return evolve(local_health, pools=local_health.pools.set(service.name, pool))


def remove_services(
    local_health: LocalHealth, known: frozenset[ServiceName]
) -> LocalHealth:
    """Return the local health without services that have no rule any more."""
    for name in frozenset(local_health.pools) - known:
        local_health = evolve(local_health, pools=local_health.pools.delete(name))
    for server_id in local_health.avoided:
        if server_id.service not in known:
            local_health = _remove_avoidance(local_health, server_id)
    return local_health


def _add_avoidance(
    local_health: LocalHealth, server_id: ServerId, server: PooledServer, now_s: float
) -> LocalHealth:
    tally = sum_tallies(server.suspicion.values())
    reason = (
        f"{tally.bad:.0f} of {tally.good + tally.bad:.0f} attempts from this host "
        f"bad, baseline {server.baseline_failure_ratio:.1%}, score {server.score:.1f}"
    )
    avoidance = Avoidance(until_s=now_s + AVOIDANCE_DURATION_S, reason=reason)
    return evolve(local_health, avoided=local_health.avoided.set(server_id, avoidance))


def _remove_expired(
    local_health: LocalHealth, servers: frozenset[ServerId], now_s: float
) -> LocalHealth:
    for server_id in servers.intersection(local_health.avoided):
        if local_health.avoided[server_id].until_s <= now_s:
            local_health = _remove_avoidance(local_health, server_id)
    return local_health


def _remove_avoidance(local_health: LocalHealth, server_id: ServerId) -> LocalHealth:
    return evolve(local_health, avoided=local_health.avoided.delete(server_id))
