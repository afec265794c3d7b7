"""Decide which servers this host alone prefers not to use."""

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

__all__ = ["update_avoidance", "remove_services"]

AVOIDANCE_DURATION_S = 10.0
NEW_SERVER = PooledServer()
LOCAL_TENURE = Tenure(version=0, lease_until_s=0.0)


def update_avoidance(
    local: LocalHealth,
    report: EvidenceReport,
    service: ServiceRule,
    servers: frozenset[ServerId],
    *,
    ejected: Set[ServerId],
    now_s: float,
) -> LocalHealth:
    """Return the local health after one round over this host's own evidence."""
    policy = policy_of(service.ejection)
    pool = local.pools.get(service.name) or create_pool(LOCAL_TENURE, now_s)
    pool = score_servers(add_report(pool, report, now_s), policy, now_s)
    local = _remove_expired(local, servers, now_s)
    for server_id in list_suspects(pool, policy, len(servers)):
        avoided = servers.intersection(local.avoided)
        taken = avoided | ejected | list_unusable(pool, now_s) | {server_id}
        if not satisfies_floor(servers, taken, service.floor):
            continue
        local = _add_avoidance(local, server_id, pool.servers[server_id], now_s)
        pool = evolve(pool, servers=pool.servers.set(server_id, NEW_SERVER))
    return evolve(local, pools=local.pools.set(service.name, pool))


def remove_services(local: LocalHealth, known: frozenset[ServiceName]) -> LocalHealth:
    """Return the local health without services that no rule names any more."""
    for name in frozenset(local.pools) - known:
        local = evolve(local, pools=local.pools.delete(name))
    for server_id in local.avoided:
        if server_id.service not in known:
            local = _remove_avoidance(local, server_id)
    return local


def _add_avoidance(
    local: LocalHealth, server_id: ServerId, server: PooledServer, now_s: float
) -> LocalHealth:
    tally = sum_tallies(server.suspicion.values())
    reason = (
        f"{tally.bad:.0f} of {tally.good + tally.bad:.0f} attempts from this host "
        f"bad, its others {server.baseline_failure_ratio:.1%}, score {server.score:.1f}"
    )
    avoidance = Avoidance(until_s=now_s + AVOIDANCE_DURATION_S, reason=reason)
    return evolve(local, avoided=local.avoided.set(server_id, avoidance))


def _remove_expired(
    local: LocalHealth, servers: frozenset[ServerId], now_s: float
) -> LocalHealth:
    for server_id in servers.intersection(local.avoided):
        if local.avoided[server_id].until_s <= now_s:
            local = _remove_avoidance(local, server_id)
    return local


def _remove_avoidance(local: LocalHealth, server_id: ServerId) -> LocalHealth:
    return evolve(local, avoided=local.avoided.delete(server_id))
