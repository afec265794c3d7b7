from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions import rules as rules_api

LINES = (
    b"service a # Nora\n",
    b"service b # Nora\n",
    b"# a comment\n",
    b"route GET /a service=a # Nora\n",
    b"nonsense\n",
    b"\n",
)


def assemble(
    text: bytes, limit_bytes: int, text_digest: str | None = None
) -> rules_api.CheckedRules | rules_api.RuleProblems:
    segments = rules_api.split_into_segments(text, limit_bytes)
    root = rules_api.make_root(1, segments)
    if text_digest is not None:
        root = evolve(root, text_digest=text_digest)
    contents = {segment.digest: segment.content for segment in segments}
    parsed = {
        digest: rules_api.parse_segment(content) for digest, content in contents.items()
    }
    return rules_api.assemble_rules(root, contents, parsed)


@given(st.lists(st.sampled_from(LINES), max_size=8), st.integers(30, 60))
def test_segments_yield_the_same_rules_as_the_whole_text(
    lines: list[bytes], limit_bytes: int
) -> None:
    text = b"".join(lines)
    whole = rules_api.parse_rules(text)
    if isinstance(whole, rules_api.ParsedRules):
        assert assemble(text, limit_bytes) == rules_api.check_rules(whole.rules)
    else:
        assert assemble(text, limit_bytes) == whole


def test_text_that_does_not_match_its_root_is_refused() -> None:
    assert isinstance(assemble(LINES[0], 60), rules_api.CheckedRules)
    assert isinstance(assemble(LINES[0], 60, "0" * 64), rules_api.RuleProblems)
