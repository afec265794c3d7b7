import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipespring.frontends.datagrams import decode_datagram, encode_datagram
from snipespring.records import (
    Address,
    AdmissionAnswer,
    AdmissionQuery,
    Confirmation,
    DomainMessage,
    DomainName,
    DomainState,
    DomainSummary,
    EvacuationMark,
    HostCapacity,
    HostId,
    HostReport,
    Incarnation,
    OrganisationName,
    OrganisationUsage,
    OutcomeBatch,
    OutcomeNotification,
    OverLimit,
    PublishedHost,
    PublishedServer,
    ReportDigest,
    ServerAnswers,
    ServerChange,
    ServerChanges,
    ServerMark,
    ServerQuery,
    ServiceName,
    StateRequest,
)
from standins.harness import run_limited

names = st.text(min_size=1, max_size=12)
counts = st.integers(0, 1 << 40)
addresses = st.builds(
    Address, ip=st.just("10.0.0.1"), port=st.integers(min_value=1, max_value=65535)
)

usage = st.lists(
    st.builds(
        OrganisationUsage,
        organisation=names.map(OrganisationName),
        admitted=counts,
        received=counts,
    ),
    max_size=4,
).map(tuple)
answers = st.lists(
    st.builds(ServerAnswers, instance=names, good=counts), max_size=4
).map(tuple)
hosts = st.builds(
    PublishedHost,
    host_id=names.map(HostId),
    domain=names.map(DomainName),
    callers=addresses,
    peers=addresses,
    capacity=st.builds(
        HostCapacity, cores=st.floats(0.0, 99.0), link_mbps=st.floats(0.0, 9e9)
    ),
)
servers = st.builds(
    PublishedServer,
    instance=names,
    born_ms=counts,
    service=names.map(ServiceName),
    address=addresses,
    domain=names.map(DomainName),
    slots=counts,
    is_draining=st.booleans(),
    warmup_s=st.floats(0.0, 9.0),
)
host_ids = st.lists(names.map(HostId), max_size=4).map(tuple)
outcomes = st.builds(
    OutcomeNotification,
    sender=names.map(HostId),
    domain=names.map(DomainName),
    instance=names,
    is_failure=st.booleans(),
)
messages = st.one_of(
    st.builds(
        AdmissionQuery,
        sender=names.map(HostId),
        incarnation=names.map(Incarnation),
        number=counts,
        usage=st.builds(OrganisationUsage, organisation=names.map(OrganisationName)),
        priority=st.integers(-9, 9),
    ),
    st.builds(
        AdmissionAnswer,
        sender=names.map(HostId),
        incarnation=names.map(Incarnation),
        number=counts,
        is_decided=st.booleans(),
        refusal=st.none()
        | st.builds(OverLimit, reason=names, retry_after_s=st.floats(0.0, 9.0)),
    ),
    st.builds(
        HostReport,
        host=hosts,
        incarnation=names.map(Incarnation),
        sequence=counts,
        is_serving=st.booleans(),
        usage=usage,
        answers=answers,
        request=st.none()
        | st.builds(StateRequest, serving_version=counts, wants_answers=st.booleans()),
    ),
    st.builds(
        ReportDigest,
        sender=names.map(HostId),
        incarnation=names.map(Incarnation),
        sequence=counts,
        included_sequence=st.none() | counts,
        state=st.none()
        | st.builds(
            DomainState,
            heard_hosts=counts,
            serving_version=counts,
            serving=st.none() | host_ids,
            usage=usage,
            answers=st.none() | answers,
        ),
        confirmation=st.none()
        | st.builds(
            Confirmation, version=counts, age_s=st.floats(min_value=0.0, max_value=9.0)
        ),
        servers=st.none() | st.builds(ServerMark, revision=counts),
        evacuations=st.none()
        | st.builds(
            EvacuationMark,
            revision=counts,
            domains=st.lists(names.map(DomainName), max_size=3).map(tuple),
        ),
    ),
    st.builds(
        DomainSummary,
        sender=names.map(HostId),
        domain=names.map(DomainName),
        serving=st.none() | host_ids,
        heard_hosts=counts,
        usage=usage,
    ),
    outcomes,
    st.builds(
        OutcomeBatch,
        sender=names.map(HostId),
        domain=names.map(DomainName),
        outcomes=st.lists(outcomes, max_size=3).map(tuple),
    ),
    st.builds(ServerQuery, sender=names.map(HostId), after=counts),
    st.builds(
        ServerChanges,
        sender=names.map(HostId),
        after=counts,
        until=counts,
        recovered_age_s=st.none() | st.floats(0.0, 9.0),
        changes=st.lists(
            st.builds(ServerChange, name=names, server=st.none() | servers), max_size=3
        ).map(tuple),
    ),
)


@given(message=messages)
def test_message_is_decoded_as_encoded(message: DomainMessage) -> None:
    assert decode_datagram(encode_datagram(message)) == message


@given(content=st.binary(max_size=64))
def test_arbitrary_bytes_are_no_message(content: bytes) -> None:
    assert decode_datagram(content) is None


@given(message=messages, removed_bytes=st.integers(min_value=1, max_value=20))
def test_truncated_message_is_no_message(
    message: DomainMessage, removed_bytes: int
) -> None:
    content = encode_datagram(message)
    assert decode_datagram(content[: max(0, len(content) - removed_bytes)]) is None


BIG_NUMBER = b"\xc2\x5a" + (16 << 20).to_bytes(4, "big") + b"\xff" * (16 << 20)
SHARED = b"\xd8\x1c\x82\x01" + b"\xd8\x1d\x00"  # a list that contains itself
DECODE = """
import sys
from snipespring.frontends.datagrams import decode_datagram
print(decode_datagram(sys.stdin.buffer.read()))
"""
DECODING_LIMIT_S = 20.0


@pytest.mark.parametrize(
    "value",
    [
        b"\xc4\x82\x00" + BIG_NUMBER,  # a decimal
        b"\xd8\x1e\x82" + BIG_NUMBER + BIG_NUMBER,  # a fraction
        b"\xd8\x23\x7a" + (1 << 23).to_bytes(4, "big") + b"(a?)" * (1 << 21),
        BIG_NUMBER,
        SHARED,
    ],
)
def test_tagged_values_are_refused_before_they_are_computed(value: bytes) -> None:
    # Guards against a message that stops the whole process while it is decoded.
    content = b"\x82\x00" + value
    found = run_limited(DECODE, content, limit_s=DECODING_LIMIT_S)
    assert found == "None"
