"""Check that values of rules are in range and that rules are consistent."""

from collections.abc import Iterator
from ipaddress import ip_address

from attrs import define, field

from ...records import (
    Address,
    KeyRule,
    OrganisationName,
    OrganisationRule,
    RouteRule,
    ServerRule,
    ServiceName,
    ServiceRule,
)
from .identity import identify_rule
from .records import (
    CheckedRules,
    InvalidValue,
    PlacedRule,
    RuleIdentity,
    RuleProblem,
    RuleProblems,
)

__all__ = ["check_address", "check_rules"]

PORT_MAX = 65535
BURST_MIN = 1.0


def check_rules(rules: tuple[PlacedRule, ...]) -> CheckedRules | RuleProblems:
    """Return consistent rules with warnings, or every problem in line order."""
    names = _collect_names(rules)
    seen = _SeenRules()
    problems: list[RuleProblem] = []
    for placed in rules:
        problems.extend(_check_values(placed))
        problems.extend(_check_references(placed, names))
        problems.extend(seen.check(placed))
    if problems:
        return RuleProblems(problems=tuple(problems))
    return CheckedRules(rules=rules, warnings=tuple(_find_warnings(rules, names)))


def check_address(address: Address) -> InvalidValue | None:
    """Return the reason why an address is invalid, or None for a valid address."""
    try:
        ip_address(address.ip)
    except ValueError:
        return InvalidValue(reason="not a valid IP number")
    if not 1 <= address.port <= PORT_MAX:
        return InvalidValue(reason=f"a port is from 1 to {PORT_MAX}")
    return None


@define(kw_only=True)
class _Names:
    """Collect the names that the rules define and the services that have servers."""

    services: set[ServiceName] = field(factory=set)
    organisations: set[OrganisationName] = field(factory=set)
    services_with_servers: set[ServiceName] = field(factory=set)


@define(kw_only=True)
class _SeenRules:
    """Collect the lines of the rules checked so far, to find duplicates."""

    lines: dict[RuleIdentity, int] = field(factory=dict)
    key_owners: dict[str, OrganisationName] = field(factory=dict)

    def check(self, placed: PlacedRule) -> Iterator[RuleProblem]:
        """Yield a problem for each identity that an earlier rule has too."""
        match placed.rule:
            case KeyRule(digest=digest, organisation=organisation):
                owner = self.key_owners.setdefault(digest, organisation)
                if owner != organisation:
                    reason = f"the key belongs to organisation {owner} already"
                    yield _problem(placed, digest, reason)
                    return
        for identity in _expand_identity(placed):
            first = self.lines.setdefault(identity, placed.line)
            if first != placed.line:
                reason = f"duplicate {identity.kind}, first on line {first}"
                yield _problem(placed, identity.name, reason)


def _expand_identity(placed: PlacedRule) -> tuple[RuleIdentity, ...]:
    match placed.rule:
        case RouteRule(methods=methods, prefix=prefix):
            return tuple(
                RuleIdentity(kind="route", name=f"{method} {prefix}")
                for method in methods
            )
        case ServerRule(server=server):
            address = server.address
            name = f"{server.service}@{_normalise_ip(address.ip)}:{address.port}"
            return (RuleIdentity(kind="server", name=name),)
        case rule:
            return (identify_rule(rule),)


def _normalise_ip(ip: str) -> str:
    try:
        return str(ip_address(ip))
    except ValueError:
        return ip


def _collect_names(rules: tuple[PlacedRule, ...]) -> _Names:
    names = _Names()
    for placed in rules:
        match placed.rule:
            case ServiceRule(name=service):
                names.services.add(service)
            case OrganisationRule(name=organisation):
                names.organisations.add(organisation)
            case ServerRule(server=server):
                names.services_with_servers.add(server.service)
    return names


def _check_values(placed: PlacedRule) -> Iterator[RuleProblem]:
    match placed.rule:
        case ServiceRule() as service:
            yield from _check_service(placed, service)
        case ServerRule(server=server):
            invalid = check_address(server.address)
            if invalid is not None:
                yield _problem(placed, str(server.address), invalid.reason)
        case OrganisationRule() as organisation:
            if organisation.rate_per_s <= 0:
                yield _problem(placed, organisation.name, "rate is not above 0")
            if organisation.burst < BURST_MIN:
                yield _problem(placed, organisation.name, "burst is below 1")


def _check_service(placed: PlacedRule, rule: ServiceRule) -> Iterator[RuleProblem]:
    if rule.slots < 1:
        yield _problem(placed, rule.name, "slots is below 1")
    if rule.connections < 1:
        yield _problem(placed, rule.name, "connections is below 1")
    if not 0 <= rule.floor <= 1:
        yield _problem(placed, rule.name, "floor is not within 0% and 100%")
    if rule.deadline_s <= 0:
        yield _problem(placed, rule.name, "deadline is not above 0")
    if not 0 <= rule.retry_share <= 1:
        yield _problem(placed, rule.name, "retries is not within 0% and 100%")


def _check_references(placed: PlacedRule, names: _Names) -> Iterator[RuleProblem]:
    match placed.rule:
        case ServerRule(server=server) if server.service not in names.services:
            yield _problem(placed, server.service, "unknown service")
        case RouteRule(service=service) if service not in names.services:
            yield _problem(placed, service, "unknown service")
        case KeyRule(organisation=owner) if owner not in names.organisations:
            yield _problem(placed, owner, "unknown organisation")


def _find_warnings(
    rules: tuple[PlacedRule, ...], names: _Names
) -> Iterator[RuleProblem]:
    for placed in rules:
        match placed.rule:
            case ServiceRule(name=name) if name not in names.services_with_servers:
                yield _problem(placed, name, "the service has no servers")


def _problem(placed: PlacedRule, word: str, reason: str) -> RuleProblem:
    return RuleProblem(line=placed.line, column=1, word=word, reason=reason)
