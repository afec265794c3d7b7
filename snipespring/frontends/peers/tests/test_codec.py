from typing import Any

import pytest
from cbor2 import dumps
from hypothesis import given
from hypothesis import strategies as st

from snipespring.frontends.peers import decode_message, encode_message
from snipespring.frontends.peers.codec import (
    MAX_MESSAGE_BYTES,
    MESSAGE_KINDS,
    DecodeFailed,
)
from snipespring.records import (
    AgedSighting,
    AgedStatus,
    HostId,
    HostStatus,
    Incarnation,
    Pull,
    PullReply,
    Versions,
)

STATUS = HostStatus(
    host_id=HostId("a"),
    incarnation=Incarnation("b"),
    sequence=3,
    versions=Versions(configuration=1, roster=2),
    unheard=(HostId("c"),),
)
REPLY = PullReply(
    configuration=AgedSighting(version=2, age_s=0.5, content=b"x"),
    roster=None,
    statuses=(AgedStatus(status=STATUS, age_s=1.0),),
)
PULL = Pull(sender=HostId("a"), held=Versions(configuration=1, roster=2))
plain = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**80), 2**80)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=6), inner, max_size=4)
    ),
    max_leaves=12,
)


@pytest.mark.parametrize("message", [PULL, REPLY])
def test_messages_come_back_equal(message: Pull | PullReply) -> None:
    assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=200))
def test_any_bytes_decode_to_a_message_or_a_reason(content: bytes) -> None:
    decoded = decode_message(content)
    assert isinstance(decoded, (DecodeFailed, *MESSAGE_KINDS.values()))


@given(st.sampled_from(sorted(MESSAGE_KINDS)), plain)
def test_any_fields_decode_to_a_message_or_a_reason(kind: str, fields: Any) -> None:
    decoded = decode_message(dumps([kind, fields]))
    assert isinstance(decoded, (DecodeFailed, MESSAGE_KINDS[kind]))


@given(st.integers(0, 400), st.integers(0, 255))
def test_a_changed_byte_gives_a_message_or_a_reason(place: int, value: int) -> None:
    content = bytearray(encode_message(REPLY))
    content[place % len(content)] = value
    decoded = decode_message(bytes(content))
    assert isinstance(decoded, (DecodeFailed, *MESSAGE_KINDS.values()))


@given(st.integers(0, 400))
def test_a_truncated_message_is_refused(length: int) -> None:
    content = encode_message(REPLY)
    kept = content[: length % len(content)]
    assert isinstance(decode_message(kept), DecodeFailed)


@pytest.mark.parametrize(
    "age", [float("nan"), float("inf"), "1", True, None, 2**5000, [1]]
)
def test_an_age_that_is_no_finite_number_is_refused(age: Any) -> None:
    aged = {"version": 1, "age_s": age, "content": None}
    fields: dict[str, Any] = {"configuration": aged, "roster": None, "statuses": []}
    assert isinstance(decode_message(dumps(["PullReply", fields])), DecodeFailed)


@pytest.mark.parametrize("version", [1.5, "1", True, None, b"1"])
def test_a_version_that_is_no_integer_is_refused(version: Any) -> None:
    held = {"configuration": version, "roster": 1}
    fields: dict[str, Any] = {"sender": "a", "held": held}
    assert isinstance(decode_message(dumps(["Pull", fields])), DecodeFailed)


@pytest.mark.parametrize(
    "content",
    [
        b"\x81" * 100_000,
        b"\xd8\x1c" * 50_000,
        b"\x9b" + b"\xff" * 8,
        b"\xbb" + b"\xff" * 8,
        b"\x5b\x00\x00\x00\xff\xff\xff\xff\xff",
        b"\x82\x64Pull\xd8\x1c\x81\xd8\x1d\x00",
        b"\x00" * (MAX_MESSAGE_BYTES + 1),
    ],
    ids=["nested", "tags", "list", "map", "bytes", "cycle", "oversized"],
)
def test_hostile_sizes_and_nesting_are_refused(content: bytes) -> None:
    assert isinstance(decode_message(content), DecodeFailed)
