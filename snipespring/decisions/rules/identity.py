"""Determine which rule a line defines, so that two versions of it can be compared."""

from ...records import (
    KeyRule,
    OrganisationRule,
    RouteRule,
    Rule,
    ServerRule,
    ServiceRule,
)
from .records import RuleIdentity

__all__ = ["identify_rule"]


def identify_rule(rule: Rule) -> RuleIdentity:
    """Return the kind of a rule and its name, which is unique within the kind."""
    match rule:
        case ServiceRule(name=name):
            return RuleIdentity(kind="service", name=name)
        case ServerRule(server=server):
            return RuleIdentity(kind="server", name=str(server))
        case RouteRule(methods=methods, prefix=prefix):
            return RuleIdentity(kind="route", name=f"{','.join(methods)} {prefix}")
        case OrganisationRule(name=name):
            return RuleIdentity(kind="organisation", name=name)
        case KeyRule(digest=digest):
            return RuleIdentity(kind="key", name=digest)
