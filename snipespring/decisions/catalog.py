"""Build the active configuration from the configurations and servers in the store."""

from collections.abc import Iterable, Mapping

from attrs import evolve, frozen
from immutables import Map

from ..records import (
    Configuration,
    FeedView,
    PublishedServer,
    RegionMap,
    ServerId,
    ServerRule,
    ServiceName,
)
from .places import region_of
from .routing import WarmupBounds, cold_rate_per_s

__all__ = [
    "RetryBounds",
    "apply_retry_bounds",
    "apply_warmup_bounds",
    "group_servers_by_service",
    "list_new_cold",
    "select_newest_configuration",
]

ASKED_BY = "the server itself"

# Stands for the revision of an entry whose revision is not known.
FIRST_REVISION = 1
NO_REVISIONS: Mapping[str, int] = Map()
NO_REGIONS = RegionMap()

ServersByService = Map[ServiceName, tuple[ServerRule, ...]]


def select_newest_configuration(
    current: Configuration, view: FeedView[Configuration]
) -> Configuration:
    """Return the newest of the current and the published configurations.

    A stale view puts nothing in force.
    """
    newest = current
    if view.is_stale:
        return newest
    for published in view.items.values():
        if published.version > newest.version:
            newest = published
    return newest


@frozen(kw_only=True)
class RetryBounds:
    """Limit the retries of a service to a share of its first attempts plus a reserve.

    `reserve` is a number of retries for the whole fleet.
    """

    share: float
    reserve: float


def apply_retry_bounds(cfg: Configuration, bounds: RetryBounds) -> Configuration:
    """Return the configuration with the retry bounds set for every service."""
    services = {
        name: evolve(rule, retry_share=bounds.share, retry_reserve=bounds.reserve)
        for name, rule in cfg.services.items()
    }
    return evolve(cfg, services=Map(services))


def apply_warmup_bounds(
    cfg: Configuration, bounds: WarmupBounds | None
) -> Configuration:
    """Return the configuration with the rates for the cold servers of each service.

    Without bounds, or for services that name no rate, cold servers are not bounded.
    """
    if bounds is None:
        return cfg
    services = {
        name: evolve(rule, cold_per_s=cold_rate_per_s(rule.warmup_per_s, bounds))
        if rule.warmup_per_s > 0.0
        else rule
        for name, rule in cfg.services.items()
    }
    return evolve(cfg, services=Map(services))


def group_servers_by_service(
    servers: Iterable[PublishedServer],
    current: ServersByService,
    *,
    now_s: float,
    revisions: Mapping[str, int] = NO_REVISIONS,
    regions: RegionMap = NO_REGIONS,
) -> ServersByService:
    """Return the servers by service; known servers keep their warm-up time.

    A server that restarted under the same instance name counts as a new server. One
    whose entry says again that it is cold, at a later one of the `revisions`, is cold
    from now on.
    """
    known = {rule.server: rule for rules in current.values() for rule in rules}
    grouped: dict[ServiceName, list[ServerRule]] = {}
    for server in sorted(servers, key=lambda server: server.instance):
        server_id = ServerId(
            service=server.service,
            address=server.address,
            instance=server.instance,
            born_ms=server.born_ms,
        )
        rule = known.get(server_id) or ServerRule(
            server=server_id,
            domain=server.domain,
            slots=server.slots,
            region=region_of(regions, server.domain),
            asked_by=ASKED_BY,
        )
        rule = _set_warm_time(
            rule, server, revisions.get(server.instance, FIRST_REVISION), now_s
        )
        grouped.setdefault(server.service, []).append(rule)
    return Map({name: tuple(rules) for name, rules in grouped.items()})


def list_new_cold(
    previous: Configuration, new: Configuration, *, now_s: float
) -> list[tuple[ServerId, float, float]]:
    """Return the servers that have become cold, with their requests/s and seconds left.

    Only servers whose service bounds cold servers are listed.
    """
    cold_until_s = {
        rule.server: rule.warm_at_s
        for rules in previous.servers.values()
        for rule in rules
    }
    return [
        (rule.server, service.cold_per_s, rule.warm_at_s - now_s)
        for name, rules in new.servers.items()
        if (service := new.services.get(name)) and service.cold_per_s is not None
        for rule in rules
        if cold_until_s.get(rule.server, 0.0) <= now_s < rule.warm_at_s
    ]


def _set_warm_time(
    rule: ServerRule, server: PublishedServer, revision: int, now_s: float
) -> ServerRule:
    """Return the rule with when the server is warm, according to a new entry.

    An entry that is warm ends a warm-up at once.
    """
    if server.warmup_s <= 0.0:
        is_cold = now_s < rule.warm_at_s
        return evolve(rule, warm_at_s=now_s) if is_cold else rule
    if revision == rule.cold_revision:
        return rule
    return evolve(rule, warm_at_s=now_s + server.warmup_s, cold_revision=revision)
