"""Hold what reading, checking and comparing rules yields."""

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
    """State why a value could not be read."""

    reason: str


@frozen(kw_only=True)
class PlacedRule:
    """Hold a rule and the line, counted from 1, that it came from."""

    rule: Rule
    line: int


@frozen(kw_only=True)
class RuleProblem:
    """State what is wrong at one line and column, both counted from 1."""

    line: int
    column: int
    word: str
    reason: str


@frozen(kw_only=True)
class ParsedRules:
    """Hold the rules of a text without syntax errors."""

    rules: tuple[PlacedRule, ...]


@frozen(kw_only=True)
class ParsedSegment:
    """Hold what one segment parsed to, its lines counted from its own start."""

    parsed: "ParsedRules | RuleProblems"
    line_count: int


@frozen(kw_only=True)
class CheckedRules:
    """Hold rules that are consistent with each other, with warnings."""

    rules: tuple[PlacedRule, ...]
    warnings: tuple[RuleProblem, ...]


@frozen(kw_only=True)
class RuleProblems:
    """Hold every problem of a text in the order of its lines."""

    problems: tuple[RuleProblem, ...]


@frozen(kw_only=True, order=True)
class RuleIdentity:
    """Name what a rule is about, apart from its values."""

    kind: str
    name: str


@frozen(kw_only=True)
class Added:
    """State that a rule is new."""

    rule: Rule


@frozen(kw_only=True)
class Removed:
    """State that a rule is gone."""

    rule: Rule


@frozen(kw_only=True)
class Changed:
    """State that a rule of the same identity has other values."""

    old: Rule
    new: Rule


RuleDifference = Added | Removed | Changed


@frozen(kw_only=True)
class Segment:
    """Hold a part of a rules text and the SHA-256 digest of it in hex."""

    digest: str
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class RootRecord:
    """Name the segments of one version, in order, and the digest of their text."""

    version: int
    digests: tuple[str, ...]
    text_digest: str
