"""Build the active configuration from the configurations and servers in the store."""

from collections.abc import Iterable

from attrs import evolve, frozen
from immutables import Map

from ..records import (
    Configuration,
    FeedView,
    PublishedServer,
    RetryBound,
    ServerId,
    ServerRule,
    ServiceName,
)

__all__ = [
    "RetryBounds",
    "apply_retry_bounds",
    "group_servers_by_service",
    "select_newest_configuration",
]

ASKED_BY = "the server itself"

ServersByService = Map[ServiceName, tuple[ServerRule, ...]]


def select_newest_configuration(
    current: Configuration, view: FeedView[Configuration]
) -> Configuration:
    """Return the newest of the current and the published configurations."""
    newest = current
    for published in view.items.values():
        if published.version > newest.version:
            newest = published
    return newest


@frozen(kw_only=True)
class RetryBounds:
    """Limit the retries of a service to a share of its first attempts plus a reserve.

    `reserve` is a number of retries for the whole fleet. These limits hold for hosts
    that do not hear the others, `fleet` for those that do.
    """

    share: float
    reserve: float
    fleet: RetryBound | None = None


def apply_retry_bounds(cfg: Configuration, bounds: RetryBounds) -> Configuration:
    """Return the configuration with the retry bounds set for every service."""
    services = {
        name: evolve(
            rule,
            retry_share=bounds.share,
            retry_reserve=bounds.reserve,
            retry_bound=bounds.fleet,
        )
        for name, rule in cfg.services.items()
    }
    return evolve(cfg, services=Map(services))


def group_servers_by_service(
    servers: Iterable[PublishedServer], current: ServersByService, *, now_s: float
) -> ServersByService:
    """Return the servers by service; known servers keep their warm-up time.

    A server that restarted under the same instance name counts as a new server.
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
            warm_at_s=now_s + server.warmup_s if server.warmup_s else 0.0,
            asked_by=ASKED_BY,
        )
        grouped.setdefault(server.service, []).append(rule)
    return Map({name: tuple(rules) for name, rules in grouped.items()})
