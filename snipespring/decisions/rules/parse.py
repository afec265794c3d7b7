"""Parse the text of a rules file."""

from collections.abc import Callable
from typing import TypeVar

from attrs import define, field

from ...records import (
    Access,
    Address,
    DomainName,
    KeyAccess,
    KeyRule,
    OrganisationName,
    OrganisationRule,
    RouteRule,
    Rule,
    ServerId,
    ServerRule,
    ServiceName,
    ServiceRule,
)
from .defaults import default_burst, default_run_policy
from .quantities import (
    parse_count,
    parse_duration_s,
    parse_number,
    parse_rate_per_s,
    parse_share,
)
from .records import InvalidValue, NumberedRule, ParsedRules, RuleProblem, RuleProblems
from .values import (
    parse_access,
    parse_address,
    parse_digest,
    parse_ejection,
    parse_methods,
    parse_name,
    parse_prefix,
    parse_run_policy,
)
from .words import RuleLine, Word, split_line

__all__ = ["parse_rules"]

T = TypeVar("T")
# Fallbacks replace invalid words, which are reported, so that parsing can continue and
# report every problem of the line.
_NO_ADDRESS = Address(ip="0.0.0.0", port=0)
_NO_METHODS: tuple[str, ...] = ()
_ACCESS_DEFAULT: Access = KeyAccess()
_SERVICE_DEFAULT = ServiceRule(name=ServiceName(""), asked_by="")


def parse_rules(content: bytes) -> ParsedRules | RuleProblems:
    """Return all rules of a text, or the problems of all its lines."""
    rules: list[NumberedRule] = []
    problems: list[RuleProblem] = []
    for line, raw in enumerate(content.split(b"\n"), start=1):
        match split_line(raw.removesuffix(b"\r"), line):
            case RuleProblem() as problem:
                problems.append(problem)
            case RuleLine(words=()):
                continue
            case RuleLine() as rule_line:
                match _parse_line(rule_line):
                    case RuleProblems(problems=line_problems):
                        problems.extend(line_problems)
                    case NumberedRule() as numbered:
                        rules.append(numbered)
    if problems:
        return RuleProblems(problems=tuple(problems))
    return ParsedRules(rules=tuple(rules))


def _parse_line(rule_line: RuleLine) -> NumberedRule | RuleProblems:
    reader = _LineReader(rule_line=rule_line)
    rule = _read_rule(reader)
    reader.finish()
    if rule is None or reader.problems:
        return RuleProblems(problems=tuple(reader.problems))
    return NumberedRule(rule=rule, line=rule_line.line)


def _read_rule(reader: "_LineReader") -> Rule | None:
    kind = reader.rule_line.words[0]
    match kind.text:
        case "service":
            return _read_service(reader)
        case "server":
            return _read_server(reader)
        case "route":
            return _read_route(reader)
        case "organisation":
            return _read_organisation(reader)
        case "key":
            return _read_key(reader)
        case _:
            reader.reject_kind(kind)
            return None


def _read_service(reader: "_LineReader") -> ServiceRule:
    name = reader.read_positional("NAME", parse_name, "")
    reader.collect_options()
    default = _SERVICE_DEFAULT
    return ServiceRule(
        name=ServiceName(name),
        slots=reader.read_option("slots", parse_count, default.slots),
        connections=reader.read_option("connections", parse_count, default.connections),
        floor=reader.read_option("floor", parse_share, default.floor),
        deadline_s=reader.read_option("deadline", parse_duration_s, default.deadline_s),
        retry_share=reader.read_option("retries", parse_share, default.retry_share),
        ejection=reader.read_option("eject", parse_ejection, default.ejection),
        asked_by=reader.rule_line.asked_by,
    )


def _read_server(reader: "_LineReader") -> ServerRule:
    service = reader.read_positional("SERVICE", parse_name, "")
    address = reader.read_positional("IP:PORT", parse_address, _NO_ADDRESS)
    reader.collect_options()
    return ServerRule(
        server=ServerId(service=ServiceName(service), address=address),
        domain=DomainName(reader.read_required_option("domain", parse_name, "")),
        asked_by=reader.rule_line.asked_by,
    )


def _read_route(reader: "_LineReader") -> RouteRule:
    methods = reader.read_positional("METHODS", parse_methods, _NO_METHODS)
    prefix = reader.read_positional("PREFIX", parse_prefix, "/")
    reader.collect_options()
    return RouteRule(
        methods=methods,
        prefix=prefix,
        service=ServiceName(reader.read_required_option("service", parse_name, "")),
        access=reader.read_option("access", parse_access, _ACCESS_DEFAULT),
        run=reader.read_option("run", parse_run_policy, default_run_policy(methods)),
        asked_by=reader.rule_line.asked_by,
    )


def _read_organisation(reader: "_LineReader") -> OrganisationRule:
    name = reader.read_positional("NAME", parse_name, "")
    reader.collect_options()
    rate_per_s = reader.read_required_option("rate", parse_rate_per_s, 0.0)
    return OrganisationRule(
        name=OrganisationName(name),
        rate_per_s=rate_per_s,
        burst=reader.read_option("burst", parse_number, default_burst(rate_per_s)),
        asked_by=reader.rule_line.asked_by,
    )


def _read_key(reader: "_LineReader") -> KeyRule:
    organisation = reader.read_positional("ORGANISATION", parse_name, "")
    digest = reader.read_positional("sha256:HEX64", parse_digest, "")
    reader.collect_options()
    return KeyRule(
        organisation=OrganisationName(organisation),
        digest=digest,
        asked_by=reader.rule_line.asked_by,
    )


@define(kw_only=True)
class _LineReader:
    """Read the words of one line in order and collect their problems."""

    rule_line: RuleLine
    problems: list[RuleProblem] = field(factory=list)
    _next_word: int = 1
    _options: dict[str, Word] = field(factory=dict)

    def read_positional(
        self, name: str, parse: Callable[[str], T | InvalidValue], fallback: T
    ) -> T:
        """Return the value of the next word, or the fallback after a problem."""
        if self._next_word >= len(self.rule_line.words):
            self._reject_line(f"{name} is missing")
            return fallback
        word = self.rule_line.words[self._next_word]
        self._next_word += 1
        return self._parse_word(word, word.text, parse, fallback)

    def collect_options(self) -> None:
        """Store the remaining words of the line by option name."""
        for word in self.rule_line.words[self._next_word :]:
            name, equals, _ = word.text.partition("=")
            if not equals:
                self._reject_word(word, "expected an option name=value")
            elif name in self._options:
                self._reject_word(word, f"option {name} is given twice")
            else:
                self._options[name] = word

    def read_option(
        self, name: str, parse: Callable[[str], T | InvalidValue], default: T
    ) -> T:
        """Return the value of an option, or its default."""
        word = self._options.pop(name, None)
        if word is None:
            return default
        value = word.text.partition("=")[2]
        return self._parse_word(word, value, parse, default)

    def read_required_option(
        self, name: str, parse: Callable[[str], T | InvalidValue], fallback: T
    ) -> T:
        """Return the value of a required option; if missing, report it.

        The result is then the fallback.
        """
        if name not in self._options:
            self._reject_line(f"option {name}= is missing")
            return fallback
        return self.read_option(name, parse, fallback)

    def reject_kind(self, kind: Word) -> None:
        """Report that the first word of the line is not a kind of rule."""
        self._reject_word(kind, "expected service, server, route, organisation or key")

    def finish(self) -> None:
        """Report unknown options and a missing comment; sort all problems by column."""
        for word in self._options.values():
            self._reject_word(word, "unknown option for this rule")
        if not self.rule_line.asked_by:
            self._reject_line("a comment naming who asked for the rule is missing")
        self.problems.sort(key=lambda problem: problem.column)

    def _parse_word(
        self,
        word: Word,
        text: str,
        parse: Callable[[str], T | InvalidValue],
        fallback: T,
    ) -> T:
        value = parse(text)
        if isinstance(value, InvalidValue):
            self._reject_word(word, value.reason)
            return fallback
        return value

    def _reject_word(self, word: Word, reason: str) -> None:
        self.problems.append(word.make_problem(self.rule_line.line, reason))

    def _reject_line(self, reason: str) -> None:
        end = Word(text="", column=self.rule_line.comment_column)
        self._reject_word(end, reason)
