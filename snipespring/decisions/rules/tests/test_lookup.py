import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipespring import records
from snipespring.decisions import rules as rules_api

RULES = b"""
route * / service=root access=open # Nora
route * /ledger service=any # Nora
route GET /ledger service=reads # Nora
route POST /ledger/deposits service=deposits # Nora
server reads 127.0.2.1:80 domain=d # Nora
server reads 127.0.2.2:80 domain=d # Nora
"""


def parse_configuration() -> records.Configuration:
    parsed = rules_api.parse_rules(RULES)
    assert isinstance(parsed, rules_api.ParsedRules)
    return rules_api.make_configuration([numbered.rule for numbered in parsed.rules], 3)


def test_configuration_indexes_routes_by_first_segment() -> None:
    cfg = parse_configuration()
    assert cfg.version == 3
    assert [rule.service for rule in cfg.routes["/ledger"]] == [
        "deposits",
        "reads",
        "any",
    ]
    assert len(cfg.routes["/"]) == 1
    assert {name: len(servers) for name, servers in cfg.servers.items()} == {"reads": 2}


@pytest.mark.parametrize(
    ("method", "path", "service"),
    [
        ("GET", "/ledger", "reads"),
        ("GET", "/ledger/x?y=/..", "reads"),
        ("PUT", "/ledger/", "any"),
        ("POST", "/ledger/deposits/7", "deposits"),
        ("GET", "/ledger/deposits", "reads"),
        ("GET", "/ledgers", "root"),
        ("GET", "/%6cedger", "reads"),
        ("GET", "/?x", "root"),
        ("GET", "//ledger", None),
        ("GET", "/photos/../ledger", None),
        ("GET", "/photos/%2e%2e/ledger", None),
        ("GET", "/photos/..%2fledger", None),
        ("GET", "http://127.0.0.1/ledger", None),
        ("OPTIONS", "*", None),
        ("GET", "", None),
    ],
)
def test_longest_prefix_of_whole_segments_wins(
    method: str, path: str, service: str | None
) -> None:
    rule = rules_api.find_route(parse_configuration(), method, path)
    assert (rule and rule.service) == service


def test_empty_configuration_has_no_route() -> None:
    assert rules_api.find_route(records.Configuration(), "GET", "/") is None


PATH = st.lists(st.sampled_from(["a", "aa", "b"]), max_size=4).map(
    lambda names: "/" + "/".join(names)
)
METHOD = st.sampled_from(["GET", "PUT", "*"])


def make_route(method: str, prefix: str) -> records.RouteRule:
    return records.RouteRule(
        methods=(method,),
        prefix=prefix,
        service=records.ServiceName("s"),
        access=records.KeyAccess(),
        run=records.RunOnce(),
        asked_by="Nora",
    )


def find_by_scan(
    rules: list[records.RouteRule], method: str, path: str
) -> records.RouteRule | None:
    matching = [
        rule
        for rule in rules
        if rule.methods[0] in (method, "*")
        and f"{path}/".startswith(rule.prefix.rstrip("/") + "/")
    ]
    ranks = [(len(rule.prefix), rule.methods[0] != "*") for rule in matching]
    return matching[ranks.index(max(ranks))] if matching else None


@given(st.sets(st.tuples(METHOD, PATH)), st.sampled_from(["GET", "PUT"]), PATH)
def test_lookup_agrees_with_a_scan_of_all_rules(
    keys: set[tuple[str, str]], method: str, path: str
) -> None:
    rules = [make_route(*key) for key in sorted(keys)]
    cfg = rules_api.make_configuration(rules, 1)
    assert rules_api.find_route(cfg, method, path) == find_by_scan(rules, method, path)
