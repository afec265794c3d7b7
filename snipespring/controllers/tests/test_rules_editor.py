import hashlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipespring.controllers.rules_editor import (
    Accepted,
    Conflicted,
    DamagedRules,
    NoRules,
    RulesEditor,
    StoredRules,
    Unreachable,
)
from snipespring.frontends.fleet_objects import (
    CONFIGURATION_OBJECT,
    decode_root,
    make_segment_name,
)
from snipespring.records import ObjectRead

from .fake_platform import MAX_VALUE_BYTES, FakePlatform

FIRST = b"service a # Nora\n"
SECOND = b"service b # Nora\n"
edits = st.lists(st.sampled_from([FIRST, SECOND, FIRST + SECOND, b""]), max_size=6)


def large_rules(changed: int = -1) -> bytes:
    lines = [f"service s{n:03d} # Nora" for n in range(620)]
    lines += [f"route GET /r{n:05d}/x service=s{n % 620:03d} # N" for n in range(15000)]
    for number in range(24000):
        rate = 20 if number == changed else 10
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        lines.append(f"organisation o{number:05d} rate={rate}/s burst=10 # Nora")
        lines.append(f"key o{number:05d} sha256:{digest} # Nora")
    return "\n".join(lines).encode() + b"\n"


def read_text(platform: FakePlatform) -> bytes | None:
    match RulesEditor(platform=platform).read():
        case StoredRules(content=content):
            return content
        case _:
            return None


def test_first_text_is_stored_in_an_empty_platform() -> None:
    editor = RulesEditor(platform=FakePlatform())
    assert editor.read() == NoRules()
    assert editor.apply(FIRST, expected=None) == Accepted(version=1)
    assert editor.read() == StoredRules(version=1, content=FIRST)


def test_one_of_two_editors_wins_and_the_other_gets_the_winning_text() -> None:
    platform = FakePlatform()
    first, second = RulesEditor(platform=platform), RulesEditor(platform=platform)
    assert first.apply(FIRST, expected=0) == Accepted(version=1)
    winner = StoredRules(version=1, content=FIRST)
    assert second.apply(SECOND, expected=0) == Conflicted(stored=winner)
    assert read_text(platform) == FIRST


@given(edits, st.integers(0, 6), st.integers(0, 6))
def test_result_agrees_with_what_the_platform_stores(
    texts: list[bytes], lost_answers: int, lost_writes: int
) -> None:
    platform = FakePlatform(lose_answers=lost_answers, lose_writes=lost_writes)
    accepted: bytes | None = None
    for text in texts:
        match RulesEditor(platform=platform).apply(text, expected=None):
            case Accepted():
                accepted = text
            case Conflicted():
                raise AssertionError("conflict although there is no other writer")
            case Unreachable():
                pass
        assert read_text(platform) == accepted


def test_large_text_fits_one_megabyte_values_and_an_edit_writes_few_objects() -> None:
    platform = FakePlatform()
    editor = RulesEditor(platform=platform)
    assert editor.apply(large_rules(), expected=None) == Accepted(version=1)
    sizes = [len(stored.content) for stored in platform.objects.values()]
    assert max(sizes) <= MAX_VALUE_BYTES
    written = len(platform.writes)
    assert editor.apply(large_rules(changed=9), expected=None) == Accepted(version=2)
    assert len(platform.writes) - written <= 3
    assert read_text(platform) == large_rules(changed=9)
    root = decode_root(platform.objects[CONFIGURATION_OBJECT].content, version=2)
    assert root is not None
    assert len(platform.objects) == len(set(root.digests)) + 1


def test_late_deletion_keeps_a_segment_that_was_written_again() -> None:
    platform = FakePlatform()
    RulesEditor(platform=platform).apply(FIRST, expected=None)
    platform.delay_deletions = True
    RulesEditor(platform=platform).apply(SECOND, expected=None)
    platform.delay_deletions = False
    RulesEditor(platform=platform).apply(FIRST, expected=None)
    for name, expected in platform.delayed_deletions:
        platform.delete(name, expected=expected)
    assert platform.delayed_deletions
    assert read_text(platform) == FIRST


@pytest.mark.parametrize("content", [b"", b"\xff", b"\xa0", b"service a # Nora\n"])
def test_damaged_root_is_reported_and_can_be_replaced(content: bytes) -> None:
    platform = FakePlatform()
    platform.objects[CONFIGURATION_OBJECT] = ObjectRead(
        name=CONFIGURATION_OBJECT, version=4, content=content
    )
    editor = RulesEditor(platform=platform)
    assert isinstance(editor.read(), DamagedRules)
    assert editor.apply(FIRST, expected=4) == Accepted(version=5)


def test_damaged_segment_is_reported() -> None:
    platform = FakePlatform()
    RulesEditor(platform=platform).apply(FIRST, expected=None)
    name = make_segment_name(hashlib.sha256(FIRST).hexdigest())
    platform.objects[name] = ObjectRead(name=name, version=9, content=SECOND)
    assert isinstance(RulesEditor(platform=platform).read(), DamagedRules)


def test_unavailable_platform_is_reported() -> None:
    editor = RulesEditor(platform=FakePlatform(is_unavailable=True))
    assert isinstance(editor.apply(FIRST, expected=None), Unreachable)
