"""Define the results of parsing, checking and comparing rules."""

from attrs import field, frozen

from ...records import Rule

__all__ = [
    "Added",
    "Changed",
    "CheckedRules",
    "InvalidValue",
    "ParsedRules",
    "ParsedSegment",
    "NumberedRule",
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
    """Explain why a value is invalid."""

    reason: str


@frozen(kw_only=True)
class NumberedRule:
    """Represent a rule with its line number, counted from 1."""

    rule: Rule
    line: int


@frozen(kw_only=True)
class RuleProblem:
    """Describe a problem at one line and column, both counted from 1.

    `word` is the invalid word, empty if the problem concerns no single word.
    """

    line: int
    column: int
    word: str
    reason: str


@frozen(kw_only=True)
class ParsedRules:
    """List the rules of a text without syntax errors."""

    rules: tuple[NumberedRule, ...]


@frozen(kw_only=True)
class ParsedSegment:
    """List the rules and problems of one segment, with lines counted from its start."""

    parsed: "ParsedRules | RuleProblems"
    line_count: int


@frozen(kw_only=True)
class CheckedRules:
    """List rules that are consistent with each other, and warnings about them."""

    rules: tuple[NumberedRule, ...]
    warnings: tuple[RuleProblem, ...]


@frozen(kw_only=True)
class RuleProblems:
    """List every problem of a text in line order."""

    problems: tuple[RuleProblem, ...]


@frozen(kw_only=True, order=True)
class RuleIdentity:
    """Identify a rule by its kind and name, independent of its values."""

    kind: str
    name: str


@frozen(kw_only=True)
class Added:
    """Report a rule that was added."""

    rule: Rule


@frozen(kw_only=True)
class Removed:
    """Report a rule that was removed."""

    rule: Rule


@frozen(kw_only=True)
class Changed:
    """Report a rule whose values changed while its identity did not."""

    old: Rule
    new: Rule


RuleDifference = Added | Removed | Changed


@frozen(kw_only=True)
class Segment:
    """Represent a part of a rules text and its SHA-256 digest in hexadecimal."""

    digest: str
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class RootRecord:
    """Describe one version of the rules text by its SHA-256 digest and its segments.

    `digests` are the digests of the segments in their order in the text.
    """

    version: int
    digests: tuple[str, ...]
    text_digest: str
