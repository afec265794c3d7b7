from hypothesis import given
from hypothesis import strategies as st

from snipespring import records
from snipespring.decisions import rules as rules_api

LEDGER = records.ServiceName("ledger")


def parse_rule(text: str) -> records.Rule:
    parsed = rules_api.parse_rules(text.encode())
    assert isinstance(parsed, rules_api.ParsedRules), parsed
    (numbered,) = parsed.rules
    return numbered.rule


def parse_problems(content: bytes) -> tuple[rules_api.RuleProblem, ...]:
    parsed = rules_api.parse_rules(content)
    assert isinstance(parsed, rules_api.RuleProblems)
    return parsed.problems


def test_service_takes_defaults_and_options_in_any_order() -> None:
    minimal = parse_rule("service ledger  # Nora")
    assert minimal == records.ServiceRule(name=LEDGER, asked_by="Nora")
    full = parse_rule(
        "service ledger eject=quick retries=5% deadline=500ms floor=62.5% "
        "connections=100 slots=2 # Nora"
    )
    assert full == records.ServiceRule(
        name=LEDGER,
        slots=2,
        connections=100,
        floor=0.625,
        deadline_s=0.5,
        retry_share=0.05,
        ejection=records.EjectQuickly(),
        asked_by="Nora",
    )


def test_server_line() -> None:
    rule = parse_rule("server ledger 127.0.2.1:9000 domain=east-1 # Nora # twice")
    assert isinstance(rule, records.ServerRule)
    assert rule.server.address == records.Address(ip="127.0.2.1", port=9000)
    assert (rule.domain, rule.asked_by) == ("east-1", "Nora # twice")


def test_route_defaults_depend_on_its_methods() -> None:
    reads = parse_rule("route HEAD,GET /ledger service=ledger # Nora")
    every = parse_rule("route * / service=ledger access=open run=upload # Nora")
    posts = parse_rule("route GET,POST /ledger service=ledger # Nora")
    assert isinstance(reads, records.RouteRule)
    assert isinstance(every, records.RouteRule)
    assert isinstance(posts, records.RouteRule)
    assert reads.methods == ("GET", "HEAD")
    assert (reads.access, reads.run) == (records.KeyAccess(), records.RunIdempotent())
    assert every.methods == ("*",)
    assert (every.access, every.run) == (records.OpenAccess(), records.RunAsUpload())
    assert posts.run == records.RunOnce()


def test_organisation_rates_and_default_burst() -> None:
    per_minute = parse_rule("organisation avis rate=3000/min # Nora")
    slow = parse_rule("organisation avis rate=6/min # Nora")
    assert isinstance(per_minute, records.OrganisationRule)
    assert isinstance(slow, records.OrganisationRule)
    assert (per_minute.rate_per_s, per_minute.burst) == (50.0, 50.0)
    assert (slow.rate_per_s, slow.burst) == (0.1, 1.0)


def test_blank_and_comment_lines_are_skipped_but_counted() -> None:
    parsed = rules_api.parse_rules(b"# head\r\n\r\n \t\nservice a # Nora\r\n")
    assert isinstance(parsed, rules_api.ParsedRules)
    assert [numbered.line for numbered in parsed.rules] == [4]


def test_all_invalid_words_are_reported_with_line_and_column() -> None:
    problems = parse_problems(
        b"service a slots=x floor=70 colour=red\n"
        b"service b # Nora\n"
        b"server a 127.0.2.1 # Nora\n"
        b"rout GET / # Nora\n"
        b"service c slots=1 slots=2 loose # Nora\n"
        b"key avis sha256:12 # Nora\n"
        b"organisation # Nora\n"
    )
    assert [(problem.line, problem.column, problem.word) for problem in problems] == [
        (1, 11, "slots=x"),
        (1, 19, "floor=70"),
        (1, 28, "colour=red"),
        (1, 38, ""),
        (3, 10, "127.0.2.1"),
        (3, 20, ""),
        (4, 1, "rout"),
        (5, 19, "slots=2"),
        (5, 27, "loose"),
        (6, 10, "sha256:12"),
        (7, 14, ""),
        (7, 14, ""),
    ]


def test_malformed_lines_are_reported_with_their_column() -> None:
    content = (
        b"service \xff\nservice a\x00 # N\n#" + b"x" * 4096 + "\n# \u202e".encode()
    )
    problems = parse_problems(content)
    assert [(problem.line, problem.column) for problem in problems] == [
        (1, 9),
        (2, 10),
        (3, 4097),
        (4, 3),
    ]


def test_prefixes_with_ambiguous_segments_are_refused() -> None:
    for prefix in ("ledger", "/a/", "//", "/a//b", "/a/../b", "/.", "/%61"):
        assert parse_problems(f"route * {prefix} service=a # Nora".encode())


@given(st.binary(max_size=200))
def test_any_bytes_yield_records(content: bytes) -> None:
    assert isinstance(
        rules_api.parse_rules(content), rules_api.ParsedRules | rules_api.RuleProblems
    )


WORDS = st.sampled_from(
    ["service", "server", "route", "organisation", "key", "*", "/", "=", "#", "\n"]
) | st.sampled_from(
    ["sha256:", "slots=", "floor=9%", "rate=0/s", "rate=1e9/s", "a:1", "\u0663", "\x85"]
)


@given(st.lists(WORDS, max_size=30))
def test_any_words_yield_records(words: list[str]) -> None:
    content = " ".join(words).encode()
    assert isinstance(
        rules_api.parse_rules(content), rules_api.ParsedRules | rules_api.RuleProblems
    )
