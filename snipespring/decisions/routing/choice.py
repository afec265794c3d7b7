"""Choose a backend server for one attempt."""

from random import Random

from attrs import evolve, frozen

from ...records import (
    DomainName,
    ReportedLoad,
    ServerId,
    ServerLoad,
    ServerLoads,
    ServerRule,
    ServiceRule,
)

__all__ = ["Chosen", "NoServer", "choose_server", "release_server", "reserve_server"]

REPORT_LIFETIME_S = 1.0
UNKNOWN = ServerLoad()


@frozen(kw_only=True)
class Chosen:
    """Name the server that an attempt goes to."""

    server: ServerId


@frozen(kw_only=True)
class NoServer:
    """State why no server can take an attempt."""

    reason: str


def choose_server(
    service: ServiceRule,
    servers: tuple[ServerRule, ...],
    loads: ServerLoads,
    *,
    domain: DomainName,
    excluded: frozenset[ServerId],
    now_s: float,
    rng: Random,
) -> Chosen | NoServer:
    """Return the less loaded of two servers, from the near domain if it has any."""
    usable = [
        rule
        for rule in servers
        if rule.server not in excluded
        and not _is_draining(loads, rule.server)
        and loads.by_server.get(rule.server, UNKNOWN).in_flight < service.slots
    ]
    if not usable:
        return NoServer(reason=f"no server of {service.name} has a free slot")
    near = [rule for rule in usable if rule.domain == domain]
    pool = near or usable
    pair = rng.sample(pool, min(2, len(pool)))
    best = min(pair, key=lambda rule: _load_of(loads, rule.server, now_s))
    return Chosen(server=best.server)


def reserve_server(loads: ServerLoads, server: ServerId) -> ServerLoads:
    """Return the loads with one more attempt in flight on the server."""
    return _add_in_flight(loads, server, 1)


def release_server(
    loads: ServerLoads, server: ServerId, report: ReportedLoad | None, now_s: float
) -> ServerLoads:
    """Return the loads with one attempt less and the load that came with it."""
    loads = _add_in_flight(loads, server, -1)
    if report is None:
        return loads
    load = evolve(loads.by_server[server], reported=report, reported_at_s=now_s)
    return evolve(loads, by_server=loads.by_server.set(server, load))


def _add_in_flight(loads: ServerLoads, server: ServerId, delta: int) -> ServerLoads:
    load = loads.by_server.get(server, UNKNOWN)
    load = evolve(load, in_flight=load.in_flight + delta)
    return evolve(loads, by_server=loads.by_server.set(server, load))


def _is_draining(loads: ServerLoads, server: ServerId) -> bool:
    report = loads.by_server.get(server, UNKNOWN).reported
    return report is not None and report.draining


def _load_of(loads: ServerLoads, server: ServerId, now_s: float) -> float:
    load = loads.by_server.get(server, UNKNOWN)
    fresh = now_s - load.reported_at_s < REPORT_LIFETIME_S
    reported = load.reported.busy if load.reported is not None and fresh else 0
    return max(load.in_flight, reported)
