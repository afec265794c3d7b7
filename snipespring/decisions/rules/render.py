"""Render rules as canonical text."""

from collections.abc import Iterable

from ...records import (
    Access,
    EjectCarefully,
    EjectionPreference,
    EjectQuickly,
    KeyAccess,
    KeyRule,
    OpenAccess,
    OrganisationRule,
    RouteRule,
    Rule,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    ServerRule,
    ServiceRule,
)
from .defaults import default_burst, default_run_policy
from .quantities import (
    render_duration_s,
    render_number,
    render_rate_per_s,
    render_share,
)
from .records import RuleProblem

__all__ = ["render_problem", "render_rule", "render_rules"]


def render_rules(rules: Iterable[Rule]) -> bytes:
    """Render rules in UTF-8, one rule per line."""
    return "".join(f"{render_rule(rule)}\n" for rule in rules).encode()


def render_rule(rule: Rule) -> str:
    """Render the line of one rule; only services show options with default values."""
    return f"{_render_body(rule)}  # {rule.asked_by}"


def render_problem(problem: RuleProblem) -> str:
    """Render a problem as one line for operators."""
    position = f"{problem.line}:{problem.column}"
    if not problem.word:
        return f"{position}: {problem.reason}"
    return f"{position}: {problem.word}: {problem.reason}"


def _render_body(rule: Rule) -> str:
    match rule:
        case ServiceRule():
            return _render_service(rule)
        case ServerRule(server=server, domain=domain):
            return f"server {server.service} {server.address} domain={domain}"
        case RouteRule():
            return _render_route(rule)
        case OrganisationRule():
            return _render_organisation(rule)
        case KeyRule(organisation=organisation, digest=digest):
            return f"key {organisation} sha256:{digest}"


def _render_service(rule: ServiceRule) -> str:
    words = [
        f"service {rule.name}",
        f"slots={rule.slots}",
        f"connections={rule.connections}",
        f"floor={render_share(rule.floor)}",
        f"deadline={render_duration_s(rule.deadline_s)}",
        f"retries={render_share(rule.retry_share)}",
        f"eject={_render_ejection(rule.ejection)}",
    ]
    return " ".join(words)


def _render_route(rule: RouteRule) -> str:
    words = [f"route {','.join(rule.methods)} {rule.prefix} service={rule.service}"]
    if rule.access != KeyAccess():
        words.append(f"access={_render_access(rule.access)}")
    if rule.run != default_run_policy(rule.methods):
        words.append(f"run={_render_run_policy(rule.run)}")
    return " ".join(words)


def _render_organisation(rule: OrganisationRule) -> str:
    words = [f"organisation {rule.name} rate={render_rate_per_s(rule.rate_per_s)}"]
    if rule.burst != default_burst(rule.rate_per_s):
        words.append(f"burst={render_number(rule.burst)}")
    return " ".join(words)


def _render_ejection(preference: EjectionPreference) -> str:
    match preference:
        case EjectCarefully():
            return "careful"
        case EjectQuickly():
            return "quick"


def _render_access(access: Access) -> str:
    match access:
        case KeyAccess():
            return "key"
        case OpenAccess():
            return "open"


def _render_run_policy(policy: RunPolicy) -> str:
    match policy:
        case RunIdempotent():
            return "idempotent"
        case RunOnce():
            return "once"
        case RunAsUpload():
            return "upload"
