"""Check a configuration of the platform before it is sent."""

from collections.abc import Iterable, Iterator
from math import inf
from typing import Any

import attrs
from attrs import frozen
from immutables import Map

from ..records import Configuration, OrganisationRule, RouteRule

__all__ = [
    "ConfigurationError",
    "ContradictingLimits",
    "Finding",
    "NeverUsed",
    "check_configuration",
    "list_differences",
    "render_finding",
]


@frozen(kw_only=True)
class ConfigurationError:
    """Report an entry that names something that does not exist or is no valid value."""

    entry: str
    reason: str


@frozen(kw_only=True)
class NeverUsed:
    """Report an entry that no request can ever match."""

    entry: str
    reason: str


@frozen(kw_only=True)
class ContradictingLimits:
    """Report limits of which one can never apply, or which no request can meet."""

    entry: str
    reason: str


Finding = ConfigurationError | NeverUsed | ContradictingLimits


def check_configuration(cfg: Configuration) -> tuple[Finding, ...]:
    """Return what is wrong in a configuration, in the order of its entries."""
    return (
        *_check_routes(cfg),
        *_check_services(cfg),
        *_check_organisations(cfg),
    )


def render_finding(finding: Finding) -> str:
    """Return a finding as one line of text."""
    match finding:
        case ConfigurationError(entry=entry, reason=reason):
            return f"error: {entry}: {reason}"
        case NeverUsed(entry=entry, reason=reason):
            return f"never used: {entry}: {reason}"
        case ContradictingLimits(entry=entry, reason=reason):
            return f"contradiction: {entry}: {reason}"


def list_differences(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Return the entries added (+), removed (-) and changed (~), without keys."""
    return (
        *_compare("route", _index_routes(old), _index_routes(new)),
        *_compare("service", old.services, new.services),
        *_compare("organisation", old.organisations, new.organisations),
        *_compare("keys of", _count_keys(old), _count_keys(new)),
    )


def _check_routes(cfg: Configuration) -> Iterator[Finding]:
    for host, routes in sorted(cfg.host_routes.items()):
        seen: set[str] = set()
        for route in routes:
            entry = f"route {host}{route.prefix}"
            if route.prefix in seen:
                yield NeverUsed(entry=entry, reason="an earlier route has this prefix")
            seen.add(route.prefix)
            if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
                reason = "the prefix does not begin and end with a slash"
                yield ConfigurationError(entry=entry, reason=reason)
            yield from _check_shares(cfg, entry, route)
            yield from _check_limits(cfg, entry, route)


def _check_shares(
    cfg: Configuration, entry: str, route: RouteRule
) -> Iterator[Finding]:
    for service in _services_of(route):
        if service not in cfg.services:
            reason = f"service {service} is not configured"
            yield ConfigurationError(entry=entry, reason=reason)
    if any(share.weight < 0.0 for share in route.shares):
        yield ConfigurationError(entry=entry, reason="a weight is negative")
    elif route.shares and not any(share.weight for share in route.shares):
        yield ConfigurationError(entry=entry, reason="all weights are 0")
    else:
        for share in route.shares:
            if share.weight == 0.0:
                reason = f"service {share.service} has the weight 0"
                yield NeverUsed(entry=entry, reason=reason)


def _check_limits(
    cfg: Configuration, entry: str, route: RouteRule
) -> Iterator[Finding]:
    if route.objective_s > route.deadline_s:
        yield ContradictingLimits(
            entry=entry,
            reason=f"the objective of {route.objective_s:g} s is later than the "
            f"time-out of {route.deadline_s:g} s",
        )
    if route.regions is None:
        return
    for rule in cfg.organisations.values():
        if rule.regions is not None and not rule.regions & route.regions:
            yield ContradictingLimits(
                entry=entry,
                reason=f"no region is allowed for both the route "
                f"({_join(route.regions)}) and organisation {rule.name} "
                f"({_join(rule.regions)})",
            )


def _check_services(cfg: Configuration) -> Iterator[Finding]:
    used = {
        service
        for routes in cfg.host_routes.values()
        for route in routes
        for service in _services_of(route)
    }
    for name in sorted(set(cfg.services) - used):
        yield NeverUsed(entry=f"service {name}", reason="no route leads to it")


def _check_organisations(cfg: Configuration) -> Iterator[Finding]:
    keys = _count_keys(cfg)
    for name, rule in sorted(cfg.organisations.items()):
        entry = f"organisation {name}"
        if name not in keys:
            yield NeverUsed(entry=entry, reason="it has no key of its own")
        yield from _check_rate(entry, rule)


def _check_rate(entry: str, rule: OrganisationRule) -> Iterator[Finding]:
    if rule.rate_per_s < 0.0 or rule.burst < 0.0:
        reason = (
            f"the rate {rule.rate_per_s:g}/s or the burst {rule.burst:g} is negative"
        )
        yield ConfigurationError(entry=entry, reason=reason)
    elif rule.rate_per_s == inf and rule.burst > 0.0:
        reason = f"the burst of {rule.burst:g} has no effect without a rate"
        yield ContradictingLimits(entry=entry, reason=reason)
    elif rule.rate_per_s < 1.0 and rule.burst < 1.0:
        reason = (
            f"a rate of {rule.rate_per_s:g}/s with a burst of {rule.burst:g} leaves no "
            "room for a request"
        )
        yield ContradictingLimits(entry=entry, reason=reason)


def _services_of(route: RouteRule) -> list[str]:
    return [share.service for share in route.shares] or [route.service]


def _index_routes(cfg: Configuration) -> dict[str, RouteRule]:
    return {
        f"{host}{route.prefix}": route
        for host, routes in cfg.host_routes.items()
        for route in reversed(routes)
    }


def _count_keys(cfg: Configuration) -> Map[str, int]:
    counts: dict[str, int] = {}
    for organisation in cfg.keys.values():
        counts[organisation] = counts.get(organisation, 0) + 1
    return Map(counts)


def _compare(kind: str, old: Any, new: Any) -> Iterator[str]:
    for name in sorted({*old, *new}):
        if name not in old:
            yield f"+ {kind} {name}"
        elif name not in new:
            yield f"- {kind} {name}"
        elif old[name] != new[name]:
            yield f"~ {kind} {name}: {', '.join(_list_changes(old[name], new[name]))}"


def _list_changes(old: Any, new: Any) -> Iterable[str]:
    if not attrs.has(type(old)):
        return [f"{old} -> {new}"]
    return [
        f"{field.name} {getattr(old, field.name)} -> {getattr(new, field.name)}"
        for field in attrs.fields(type(old))
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def _join(names: Iterable[str]) -> str:
    return ", ".join(sorted(names))
