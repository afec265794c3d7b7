"""Results of parsing, checking and comparing rules."""

from attrs import field, frozen

from ...records import Rule

__all__ = [
    "Added",
    "Changed",
    "CheckedRules",
    "InvalidValue",
    "ParsedRules",
    "ParsedSegment",
    "PlacedRule",
    "Removed",
    "RootRecord",
    "RuleDifference",
    "RuleIdentity",
    "RuleProblem",
    "RuleProblems",
    "Segment",
]


@frozen(kw_only=True)
class InvalidValue:
    """The reason why a value is invalid."""

    reason: str


@frozen(kw_only=True)
class PlacedRule:
    """A rule and its line number, counted from 1."""

    rule: Rule
    line: int


@frozen(kw_only=True)
class RuleProblem:
    """A problem at one line and column, both counted from 1.

    `word` is the word at fault, empty if there is none to show.
    """

    line: int
    column: int
    word: str
    reason: str


@frozen(kw_only=True)
class ParsedRules:
    """The rules of a text without syntax errors."""

    rules: tuple[PlacedRule, ...]


@frozen(kw_only=True)
class ParsedSegment:
    """The result of parsing one segment, with lines counted from its start."""

    parsed: "ParsedRules | RuleProblems"
    line_count: int


@frozen(kw_only=True)
class CheckedRules:
    """Rules that are consistent with each other, with warnings."""

    rules: tuple[PlacedRule, ...]
    warnings: tuple[RuleProblem, ...]


@frozen(kw_only=True)
class RuleProblems:
    """Every problem of a text in line order."""

    problems: tuple[RuleProblem, ...]


@frozen(kw_only=True, order=True)
class RuleIdentity:
    """The kind and name of a rule, independent of its values."""

    kind: str
    name: str


@frozen(kw_only=True)
class Added:
    """A rule that was added."""

    rule: Rule


@frozen(kw_only=True)
class Removed:
    """A rule that was removed."""

    rule: Rule


@frozen(kw_only=True)
class Changed:
    """A rule whose values changed while its identity did not."""

    old: Rule
    new: Rule


RuleDifference = Added | Removed | Changed


@frozen(kw_only=True)
class Segment:
    """A part of a rules text and its SHA-256 digest in hexadecimal."""

    digest: str
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class RootRecord:
    """The digests of a version's segments, in order, and of its whole text."""

    version: int
    digests: tuple[str, ...]
    text_digest: str
