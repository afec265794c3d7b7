"""Compare two sets of rules."""

from collections.abc import Iterable

from ...records import Rule
from .identity import identify_rule
from .records import Added, Changed, Removed, RuleDifference, RuleIdentity
from .render import render_rule

__all__ = ["diff_rules", "render_difference"]


def diff_rules(old: Iterable[Rule], new: Iterable[Rule]) -> tuple[RuleDifference, ...]:
    """Return the rules added, removed and changed, ordered by identity."""
    before = {identify_rule(rule): rule for rule in old}
    after = {identify_rule(rule): rule for rule in new}
    differences = (
        _compare_rule(identity, before, after)
        for identity in sorted(before.keys() | after.keys())
    )
    return tuple(difference for difference in differences if difference is not None)


def render_difference(difference: RuleDifference) -> str:
    """Return a difference as text, `+` before new lines and `-` before old lines."""
    match difference:
        case Added(rule=rule):
            return f"+ {render_rule(rule)}"
        case Removed(rule=rule):
            return f"- {render_rule(rule)}"
        case Changed(old=old, new=new):
            return f"- {render_rule(old)}\n+ {render_rule(new)}"


def _compare_rule(
    identity: RuleIdentity,
    before: dict[RuleIdentity, Rule],
    after: dict[RuleIdentity, Rule],
) -> RuleDifference | None:
    old = before.get(identity)
    new = after.get(identity)
    if old == new:
        return None
    if old is not None and new is not None:
        return Changed(old=old, new=new)
    if new is not None:
        return Added(rule=new)
    return Removed(rule=before[identity])
