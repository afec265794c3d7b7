"""Run the commands that check, compare, apply and show rules."""

import json
import sys
from pathlib import Path
from typing import Any

import attrs

from ..controllers.rules_editor import (
    Accepted,
    Conflicted,
    DamagedRules,
    NoRules,
    RulesEditor,
    StoredRules,
    Unreachable,
)
from ..decisions.rules import (
    CheckedRules,
    NumberedRule,
    ParsedRules,
    RuleProblem,
    RuleProblems,
    check_rules,
    diff_rules,
    parse_rules,
    render_difference,
    render_problem,
)
from ..platform.versioned_objects import VersionedObjectStore
from .commands import Apply, Check, Diff, Show
from .exits import BAD_INPUT, REFUSED, SUCCESS, UNREACHABLE
from .rollout import wait_until_active

__all__ = ["apply", "check", "diff", "show"]

PLATFORM_TIMEOUT_S = 5.0


def check(command: Check) -> int:
    """Report every problem and warning of a rules file."""
    content = _read_file(command.file)
    if content is None:
        return BAD_INPUT
    checked = _check_content(content)
    if command.json:
        print(json.dumps(_encode_problems(checked)))
    else:
        _print_problems(command.file, checked)
    return BAD_INPUT if isinstance(checked, RuleProblems) else SUCCESS


def diff(command: Diff) -> int:
    """Print what applying a file would change."""
    content = _read_file(command.file)
    if content is None:
        return BAD_INPUT
    match _check_content(content):
        case RuleProblems() as problems:
            _print_problems(command.file, problems)
            return BAD_INPUT
        case CheckedRules(rules=rules):
            return _print_difference(_make_rules_editor(command.platform), rules)


def apply(command: Apply) -> int:
    """Write a file's rules to the platform."""
    content = _read_file(command.file)
    if content is None:
        return BAD_INPUT
    checked = _check_content(content)
    _print_problems(command.file, checked)
    if isinstance(checked, RuleProblems):
        return BAD_INPUT
    match _make_rules_editor(command.platform).apply(content, expected=command.expect):
        case Accepted(version=version):
            print(f"accepted as version {version}")
            return _wait_until_active(command, version) if command.wait else SUCCESS
        case Conflicted(stored=current):
            return _report_conflict(current, checked.rules)
        case Unreachable(reason=reason):
            print(f"platform unreachable: {reason}", file=sys.stderr)
            return UNREACHABLE


def show(command: Show) -> int:
    """Print the rules that are stored on the platform."""
    match _make_rules_editor(command.platform).read():
        case StoredRules(version=version, content=content):
            print(f"version {version}", file=sys.stderr)
            sys.stdout.write(content.decode())
            return SUCCESS
        case NoRules():
            print("the platform has no rules", file=sys.stderr)
            return REFUSED
        case DamagedRules(version=version, reason=reason):
            print(
                f"version {version} of the rules is damaged: {reason}", file=sys.stderr
            )
            return REFUSED
        case Unreachable(reason=reason):
            print(f"platform unreachable: {reason}", file=sys.stderr)
            return UNREACHABLE


def _make_rules_editor(url: str) -> RulesEditor:
    return RulesEditor(
        platform=VersionedObjectStore(url=url, timeout_s=PLATFORM_TIMEOUT_S)
    )


def _wait_until_active(command: Apply, version: int) -> int:
    progress = wait_until_active(
        command.operators, version=version, timeout_s=command.timeout_s
    )
    print(progress)
    return SUCCESS if progress.complete else REFUSED


def _read_file(name: str) -> bytes | None:
    try:
        return Path(name).read_bytes()
    except OSError as exc:
        print(f"{name}: {exc.strerror}", file=sys.stderr)
        return None


def _check_content(content: bytes) -> CheckedRules | RuleProblems:
    match parse_rules(content):
        case ParsedRules(rules=rules):
            return check_rules(rules)
        case RuleProblems() as problems:
            return problems


def _print_problems(name: str, checked: CheckedRules | RuleProblems) -> None:
    for problem in _list_problems(checked):
        print(f"{name}:{render_problem(problem)}", file=sys.stderr)


def _list_problems(checked: CheckedRules | RuleProblems) -> tuple[RuleProblem, ...]:
    match checked:
        case CheckedRules(warnings=warnings):
            return warnings
        case RuleProblems(problems=problems):
            return problems


def _encode_problems(checked: CheckedRules | RuleProblems) -> dict[str, Any]:
    listed = [attrs.asdict(problem) for problem in _list_problems(checked)]
    return {"good": isinstance(checked, CheckedRules), "problems": listed}


def _print_difference(
    rules_editor: RulesEditor, rules: tuple[NumberedRule, ...]
) -> int:
    match rules_editor.read():
        case Unreachable(reason=reason):
            print(f"platform unreachable: {reason}", file=sys.stderr)
            return UNREACHABLE
        case NoRules() | DamagedRules():
            return _print_changes(b"", rules)
        case StoredRules(content=content):
            return _print_changes(content, rules)


def _print_changes(current: bytes, rules: tuple[NumberedRule, ...]) -> int:
    parsed = parse_rules(current)
    current_rules = parsed.rules if isinstance(parsed, ParsedRules) else ()
    changes = diff_rules(
        [numbered.rule for numbered in current_rules],
        [numbered.rule for numbered in rules],
    )
    for change in changes:
        print(render_difference(change))
    return REFUSED if changes else SUCCESS


def _report_conflict(current: StoredRules, rules: tuple[NumberedRule, ...]) -> int:
    print(f"conflict: the platform is at version {current.version}", file=sys.stderr)
    print("applying this file to that version would change:", file=sys.stderr)
    _print_changes(current.content, rules)
    return REFUSED
