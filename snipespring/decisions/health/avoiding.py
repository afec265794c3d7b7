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
from .floors import leaves_floor, list_out
from .policies import policy_of
from .pooling import absorb_report, open_pool
from .scoring import score_servers, sum_tallies
from .suspects import list_suspects

__all__ = ["avoid_servers", "drop_services"]

AVOIDANCE_S = 10.0
NEW_SERVER = PooledServer()
LOCAL_TENURE = Tenure(version=0, lease_until_s=0.0)


def avoid_servers(
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
    pool = local.pools.get(service.name) or open_pool(LOCAL_TENURE, now_s)
    pool = score_servers(absorb_report(pool, report, now_s), policy, now_s)
    local = _end_avoidance(local, servers, now_s)
    for server_id in list_suspects(pool, policy, len(servers)):
        avoided = servers.intersection(local.avoided)
        taken = avoided | ejected | list_out(pool, now_s) | {server_id}
        if not leaves_floor(servers, taken, service.floor):
            continue
        local = _avoid(local, server_id, pool.servers[server_id], now_s)
        pool = evolve(pool, servers=pool.servers.set(server_id, NEW_SERVER))
    return evolve(local, pools=local.pools.set(service.name, pool))


def drop_services(local: LocalHealth, known: frozenset[ServiceName]) -> LocalHealth:
    """Return the local health without services that no rule names any more."""
    for name in frozenset(local.pools) - known:
        local = evolve(local, pools=local.pools.delete(name))
    for server_id in local.avoided:
        if server_id.service not in known:
            local = _restore(local, server_id)
    return local


def _avoid(
    local: LocalHealth, server_id: ServerId, server: PooledServer, now_s: float
) -> LocalHealth:
    tally = sum_tallies(server.suspicion.values())
    reason = (
        f"{tally.bad:.0f} of {tally.good + tally.bad:.0f} attempts from this host "
        f"bad, its others {server.baseline_failure_ratio:.1%}, score {server.score:.1f}"
    )
    avoidance = Avoidance(until_s=now_s + AVOIDANCE_S, reason=reason)
    return evolve(local, avoided=local.avoided.set(server_id, avoidance))


def _end_avoidance(
    local: LocalHealth, servers: frozenset[ServerId], now_s: float
) -> LocalHealth:
    for server_id in servers.intersection(local.avoided):
        if local.avoided[server_id].until_s <= now_s:
            local = _restore(local, server_id)
    return local


def _restore(local: LocalHealth, server_id: ServerId) -> LocalHealth:
    return evolve(local, avoided=local.avoided.delete(server_id))
