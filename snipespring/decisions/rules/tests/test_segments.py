from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions import rules as rls

LIMIT_BYTES = 900_000


@given(st.binary(max_size=400), st.integers(1, 60))
def test_segments_join_to_the_text_within_the_limit(text: bytes, limit: int) -> None:
    segments = rls.split_into_segments(text, limit)
    assert rls.join_segments(segments) == text
    assert all(0 < len(segment.content) <= limit for segment in segments)
    assert all(rls.verify_segment(segment) for segment in segments)


def test_an_edit_changes_few_segments() -> None:
    lines = [
        b"key organisation-%d sha256:%064x # Nora\n" % (i, i) for i in range(40000)
    ]
    old = rls.split_into_segments(b"".join(lines))
    for position in (0, 20_000, 39_999):
        edited = [*lines[:position], b"# a new line\n", *lines[position:]]
        new = rls.split_into_segments(b"".join(edited))
        held = {segment.digest for segment in old}
        assert 1 <= len(rls.list_missing_segments(rls.make_root(2, new), held)) <= 2
    assert len(old) >= 8
    assert max(len(segment.content) for segment in old) <= LIMIT_BYTES


def test_altered_segment_fails_verification() -> None:
    (segment,) = rls.split_into_segments(b"service a # Nora\n")
    assert not rls.verify_segment(evolve(segment, content=b"service b # Nora\n"))


def test_missing_segments_are_listed_once_in_order() -> None:
    a, b = rls.split_into_segments(b"a\nb\n", 2)
    root = rls.make_root(4, (a, b, a))
    assert rls.list_missing_segments(root, frozenset()) == (a.digest, b.digest)
    assert rls.list_missing_segments(root, {a.digest}) == (b.digest,)
