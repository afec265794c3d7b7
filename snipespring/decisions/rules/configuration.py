"""Build the configuration, which holds checked rules in mappings for lookups."""

from collections.abc import Iterable

from attrs import define, field
from immutables import Map

from ...records import (
    Configuration,
    KeyRule,
    OrganisationName,
    OrganisationRule,
    RouteRule,
    Rule,
    ServerRule,
    ServiceName,
    ServiceRule,
)
from .paths import first_segment, prefix_sort_key

__all__ = ["make_configuration"]


@define(kw_only=True)
class _Index:
    """Collect the rules of each kind in mutable mappings."""

    services: dict[ServiceName, ServiceRule] = field(factory=dict)
    servers: dict[ServiceName, list[ServerRule]] = field(factory=dict)
    routes: dict[str, list[RouteRule]] = field(factory=dict)
    organisations: dict[OrganisationName, OrganisationRule] = field(factory=dict)
    keys: dict[str, OrganisationName] = field(factory=dict)


def make_configuration(rules: Iterable[Rule], version: int) -> Configuration:
    """Return a configuration of the given version from checked rules."""
    index = _Index()
    for rule in rules:
        _add_rule(index, rule)
    return Configuration(
        version=version,
        services=Map(index.services),
        servers=Map({name: tuple(rules) for name, rules in index.servers.items()}),
        routes=Map(
            {
                segment: tuple(sorted(rules, key=_route_sort_key))
                for segment, rules in index.routes.items()
            }
        ),
        organisations=Map(index.organisations),
        keys=Map(index.keys),
    )


def _add_rule(index: _Index, rule: Rule) -> None:
    match rule:
        case ServiceRule():
            index.services[rule.name] = rule
        case ServerRule():
            index.servers.setdefault(rule.server.service, []).append(rule)
        case RouteRule():
            index.routes.setdefault(first_segment(rule.prefix), []).append(rule)
        case OrganisationRule():
            index.organisations[rule.name] = rule
        case KeyRule():
            index.keys[rule.digest] = rule.organisation


def _route_sort_key(rule: RouteRule) -> tuple[tuple[int, str], bool]:
    # Among rules with equal prefixes, named methods precede `*`.
    return (prefix_sort_key(rule.prefix), rule.methods == ("*",))
