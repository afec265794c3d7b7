from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.rules import ParsedRules, parse_rules, render_rules

NAME = st.from_regex(r"[a-z][a-z0-9._-]{0,8}", fullmatch=True)
COUNT = st.integers(0, 10**9 - 1).map(str)
NUMBER = st.from_regex(r"[0-9]{1,9}(\.[0-9]{1,9})?", fullmatch=True)
SHARE = NUMBER.map("{}%".format)
DURATION = st.builds("{}{}".format, NUMBER, st.sampled_from(["ms", "s", "min"]))
RATE = st.builds("{}/{}".format, NUMBER, st.sampled_from(["s", "min"]))
ADDRESS = st.builds("{}:{}".format, st.ip_addresses(), st.integers(0, 99999))
METHODS = st.just("*") | st.lists(
    st.sampled_from(["GET", "HEAD", "POST", "PUT"]), min_size=1, unique=True
).map(",".join)
PREFIX = st.just("/") | st.lists(NAME, min_size=1, max_size=3).map(
    lambda names: "/" + "/".join(names)
)
DIGEST = st.binary(min_size=32, max_size=32).map(bytes.hex)
ASKED_BY = st.text(
    st.characters(exclude_categories=["C", "Z"]), min_size=1, max_size=20
)


def option(name: str, value: st.SearchStrategy[str]) -> st.SearchStrategy[str]:
    return st.just("") | value.map(f"{name}={{}}".format)


LINE = st.one_of(
    st.builds(
        "service {} {} {} {} {} {} {}".format,
        NAME,
        option("slots", COUNT),
        option("connections", COUNT),
        option("floor", SHARE),
        option("deadline", DURATION),
        option("retries", SHARE),
        option("eject", st.sampled_from(["careful", "quick"])),
    ),
    st.builds("server {} {} domain={}".format, NAME, ADDRESS, NAME),
    st.builds(
        "route {} {} service={} {} {}".format,
        METHODS,
        PREFIX,
        NAME,
        option("access", st.sampled_from(["key", "open"])),
        option("run", st.sampled_from(["idempotent", "once", "upload"])),
    ),
    st.builds("organisation {} rate={} {}".format, NAME, RATE, option("burst", NUMBER)),
    st.builds("key {} sha256:{}".format, NAME, DIGEST),
)


@given(st.lists(st.builds("{} # {}".format, LINE, ASKED_BY), max_size=8))
def test_rendered_rules_parse_to_the_same_rules(lines: list[str]) -> None:
    parsed = parse_rules("\n".join(lines).encode())
    assert isinstance(parsed, ParsedRules), parsed
    rules = [numbered.rule for numbered in parsed.rules]
    reparsed = parse_rules(render_rules(rules))
    assert isinstance(reparsed, ParsedRules), reparsed
    assert [numbered.rule for numbered in reparsed.rules] == rules
