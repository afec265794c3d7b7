from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions import rules as rls

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
) -> rls.CheckedRules | rls.RuleProblems:
    segments = rls.split_into_segments(text, limit_bytes)
    root = rls.make_root(1, segments)
    if text_digest is not None:
        root = evolve(root, text_digest=text_digest)
    contents = {segment.digest: segment.content for segment in segments}
    parsed = {digest: rls.parse_segment(found) for digest, found in contents.items()}
    return rls.assemble_rules(root, contents, parsed)


@given(st.lists(st.sampled_from(LINES), max_size=8), st.integers(30, 60))
def test_segments_mean_what_the_whole_text_means(
    lines: list[bytes], limit_bytes: int
) -> None:
    text = b"".join(lines)
    whole = rls.parse_rules(text)
    if isinstance(whole, rls.ParsedRules):
        assert assemble(text, limit_bytes) == rls.check_rules(whole.rules)
    else:
        assert assemble(text, limit_bytes) == whole


def test_a_text_without_the_digest_of_its_root_is_refused() -> None:
    assert isinstance(assemble(LINES[0], 60), rls.CheckedRules)
    assert isinstance(assemble(LINES[0], 60, "0" * 64), rls.RuleProblems)
