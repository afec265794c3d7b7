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
    NumberedRule,
    RuleIdentity,
    RuleProblem,
    RuleProblems,
)

__all__ = ["check_address", "check_rules"]

PORT_MAX = 65535
BURST_MIN = 1.0


def check_rules(rules: tuple[NumberedRule, ...]) -> CheckedRules | RuleProblems:
    """Return consistent rules with warnings, or every problem in line order."""
    names = _collect_names(rules)
    seen = _SeenRules()
    problems: list[RuleProblem] = []
    for numbered in rules:
        problems.extend(_check_values(numbered))
        problems.extend(_check_references(numbered, names))
        problems.extend(seen.check(numbered))
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

    def check(self, numbered: NumberedRule) -> Iterator[RuleProblem]:
        """Yield a problem for each identity of a rule that an earlier rule also has."""
        match numbered.rule:
            case KeyRule(digest=digest, organisation=organisation):
                owner = self.key_owners.setdefault(digest, organisation)
                if owner != organisation:
                    reason = f"the key belongs to organisation {owner} already"
                    yield _problem(numbered, digest, reason)
                    return
        for identity in _expand_identity(numbered):
            first = self.lines.setdefault(identity, numbered.line)
            if first != numbered.line:
                reason = f"duplicate {identity.kind}, first on line {first}"
                yield _problem(numbered, identity.name, reason)


def _expand_identity(numbered: NumberedRule) -> tuple[RuleIdentity, ...]:
    match numbered.rule:
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


def _collect_names(rules: tuple[NumberedRule, ...]) -> _Names:
    names = _Names()
    for numbered in rules:
        match numbered.rule:
            case ServiceRule(name=service):
                names.services.add(service)
            case OrganisationRule(name=organisation):
                names.organisations.add(organisation)
            case ServerRule(server=server):
                names.services_with_servers.add(server.service)
    return names


def _check_values(numbered: NumberedRule) -> Iterator[RuleProblem]:
    match numbered.rule:
        case ServiceRule() as service:
            yield from _check_service(numbered, service)
        case ServerRule(server=server):
            invalid = check_address(server.address)
            if invalid is not None:
                yield _problem(numbered, str(server.address), invalid.reason)
        case OrganisationRule() as organisation:
            if organisation.rate_per_s <= 0:
                yield _problem(numbered, organisation.name, "rate is not above 0")
            if organisation.burst < BURST_MIN:
                yield _problem(numbered, organisation.name, "burst is below 1")


def _check_service(numbered: NumberedRule, rule: ServiceRule) -> Iterator[RuleProblem]:
    if rule.slots < 1:
        yield _problem(numbered, rule.name, "slots is below 1")
    if rule.connections < 1:
        yield _problem(numbered, rule.name, "connections is below 1")
    if not 0 <= rule.floor <= 1:
        yield _problem(numbered, rule.name, "floor is not within 0% and 100%")
    if rule.deadline_s <= 0:
        yield _problem(numbered, rule.name, "deadline is not above 0")
    if not 0 <= rule.retry_share <= 1:
        yield _problem(numbered, rule.name, "retries is not within 0% and 100%")


def _check_references(numbered: NumberedRule, names: _Names) -> Iterator[RuleProblem]:
    match numbered.rule:
        case ServerRule(server=server) if server.service not in names.services:
            yield _problem(numbered, server.service, "unknown service")
        case RouteRule(service=service) if service not in names.services:
            yield _problem(numbered, service, "unknown service")
        case KeyRule(organisation=owner) if owner not in names.organisations:
            yield _problem(numbered, owner, "unknown organisation")


def _find_warnings(
    rules: tuple[NumberedRule, ...], names: _Names
) -> Iterator[RuleProblem]:
    for numbered in rules:
        match numbered.rule:
            case ServiceRule(name=name) if name not in names.services_with_servers:
                yield _problem(numbered, name, "the service has no servers")


def _problem(numbered: NumberedRule, word: str, reason: str) -> RuleProblem:
    return RuleProblem(line=numbered.line, column=1, word=word, reason=reason)
