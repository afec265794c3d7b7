"""Combine the parsed segments of a rules text and check its rules together."""

from collections.abc import Iterable, Iterator, Mapping
from hashlib import sha256

from attrs import evolve

from .check import check_rules
from .parse import parse_rules
from .records import (
    CheckedRules,
    NumberedRule,
    ParsedRules,
    ParsedSegment,
    RootRecord,
    RuleProblem,
    RuleProblems,
)

__all__ = ["assemble_rules", "parse_segment"]


def parse_segment(content: bytes) -> ParsedSegment:
    """Parse one segment and count its lines."""
    return ParsedSegment(parsed=parse_rules(content), line_count=content.count(b"\n"))


def assemble_rules(
    root: RootRecord, contents: Mapping[str, bytes], parsed: Mapping[str, ParsedSegment]
) -> CheckedRules | RuleProblems:
    """Return the checked rules of a text, or every problem found in them."""
    if _digest_text(contents[digest] for digest in root.digests) != root.text_digest:
        reason = "the text does not match the digest in its root record"
        return RuleProblems(problems=(_whole_text_problem(reason),))
    rules: list[NumberedRule] = []
    problems: list[RuleProblem] = []
    lines_before = 0
    for digest in root.digests:
        match parsed[digest].parsed:
            case ParsedRules(rules=segment_rules):
                rules.extend(_shift_rules(segment_rules, lines_before))
            case RuleProblems(problems=segment_problems):
                problems.extend(_shift_problems(segment_problems, lines_before))
        lines_before += parsed[digest].line_count
    if problems:
        return RuleProblems(problems=tuple(problems))
    return check_rules(tuple(rules))


def _digest_text(contents: Iterable[bytes]) -> str:
    digest = sha256()
    for content in contents:
        digest.update(content)
    return digest.hexdigest()


def _shift_rules(rules: Iterable[NumberedRule], lines: int) -> Iterator[NumberedRule]:
    for numbered in rules:
        yield NumberedRule(rule=numbered.rule, line=numbered.line + lines)


def _shift_problems(
    problems: Iterable[RuleProblem], lines: int
) -> Iterator[RuleProblem]:
    for problem in problems:
        yield evolve(problem, line=problem.line + lines)


def _whole_text_problem(reason: str) -> RuleProblem:
    return RuleProblem(line=1, column=1, word="", reason=reason)
