from snipespring.decisions import rules as rules_api

DIGEST = "ab" * 32


def check(*lines: str) -> rules_api.CheckedRules | rules_api.RuleProblems:
    parsed = rules_api.parse_rules(
        "".join(f"{line} # Nora\n" for line in lines).encode()
    )
    assert isinstance(parsed, rules_api.ParsedRules), parsed
    return rules_api.check_rules(parsed.rules)


def list_problems(*lines: str) -> list[tuple[int, str]]:
    checked = check(*lines)
    assert isinstance(checked, rules_api.RuleProblems)
    return [(problem.line, problem.reason) for problem in checked.problems]


def test_consistent_rules_pass_with_warning_for_service_without_servers() -> None:
    checked = check(
        "server a 127.0.2.1:80 domain=d",
        "service a",
        "service b",
        "route GET /a service=a",
        "route * /a service=a",
        "organisation o rate=1/s",
        f"key o sha256:{DIGEST}",
    )
    assert isinstance(checked, rules_api.CheckedRules)
    assert [(warning.line, warning.word) for warning in checked.warnings] == [(3, "b")]


def test_unknown_names_are_reported() -> None:
    assert list_problems(
        "server a 127.0.2.1:80 domain=d",
        "route GET /a service=a",
        f"key o sha256:{DIGEST}",
    ) == [
        (1, "unknown service"),
        (2, "unknown service"),
        (3, "unknown organisation"),
    ]


def test_duplicates_are_reported_with_the_line_of_the_first() -> None:
    assert list_problems(
        "service a",
        "service a slots=2",
        "server a ::1:80 domain=d",
        "server a 0:0::1:80 domain=e",
        "route GET,HEAD /a service=a",
        "route HEAD,POST /a service=a",
        "organisation o rate=1/s",
        "organisation o rate=2/s",
        f"key o sha256:{DIGEST}",
        f"key o sha256:{DIGEST}",
        "organisation p rate=1/s",
        f"key p sha256:{DIGEST}",
    ) == [
        (2, "duplicate service, first on line 1"),
        (4, "duplicate server, first on line 3"),
        (6, "duplicate route, first on line 5"),
        (8, "duplicate organisation, first on line 7"),
        (10, "duplicate key, first on line 9"),
        (12, "the key belongs to organisation o already"),
    ]


def test_values_out_of_range_are_reported() -> None:
    assert list_problems(
        "service a slots=0 connections=0 floor=101% deadline=0s retries=200%",
        "server a 127.0.2.256:80 domain=d",
        "server a 127.0.2.1:0 domain=d",
        "server a 127.0.2.1:65536 domain=d",
        "organisation o rate=0/s burst=0.5",
    ) == [
        (1, "slots is below 1"),
        (1, "connections is below 1"),
        (1, "floor is not within 0% and 100%"),
        (1, "deadline is not above 0"),
        (1, "retries is not within 0% and 100%"),
        (2, "not a valid IP number"),
        (3, "a port is from 1 to 65535"),
        (4, "a port is from 1 to 65535"),
        (5, "rate is not above 0"),
        (5, "burst is below 1"),
    ]
