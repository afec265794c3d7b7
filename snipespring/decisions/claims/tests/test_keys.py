from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.claims import (
    KeyAbsent,
    KeyMalformed,
    derive_issuing_key,
    digest_request,
    issue_prefix,
    read_claim_key,
)
from snipespring.records import (
    Address,
    DomainName,
    Header,
    Host,
    HostId,
    Incarnation,
    IssuedKey,
    OrganisationName,
    PlainKey,
    Request,
)

ISSUING_KEY = derive_issuing_key(b"an example secret of a test fleet")
VISIBLE = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1)
NAMES = st.text(min_size=1, max_size=20)
ORGANISATIONS = st.none() | st.sampled_from(["valeters", "hauliers"]).map(
    OrganisationName
)
KeyRead = IssuedKey | PlainKey | KeyAbsent | KeyMalformed


def describe_host(host_id: str, incarnation: str) -> Host:
    here = Address(ip="127.0.0.1", port=1)
    return Host(
        host_id=HostId(host_id),
        incarnation=Incarnation(incarnation),
        domain=DomainName("domain-0"),
        callers=here,
        peers=here,
        operators=here,
    )


def read(text: str, organisation: OrganisationName | None) -> KeyRead:
    header = Header(name="Idempotency-Key", value=text)
    request = Request(request_id="r", method="POST", path="/ledger", headers=(header,))
    return read_claim_key(
        request, organisation=organisation, issuing_key=ISSUING_KEY, roster_version=7
    )


@given(
    host_id=NAMES,
    incarnation=NAMES,
    organisation=ORGANISATIONS,
    other=ORGANISATIONS,
    now_s=st.floats(0, 1e9),
    text=VISIBLE.filter(lambda text: len(text) < 20),
)
def test_an_issued_key_names_its_owner_to_its_organisation_alone(
    host_id: str,
    incarnation: str,
    organisation: OrganisationName | None,
    other: OrganisationName | None,
    now_s: float,
    text: str,
) -> None:
    prefix = issue_prefix(
        ISSUING_KEY,
        own_host=describe_host(host_id, incarnation),
        organisation=organisation,
        now_s=now_s,
    )
    key = f"{prefix}.{text}"
    match read(key, organisation):
        case IssuedKey() as issued:
            named = (issued.host_id, issued.incarnation, issued.issued_s)
            assert named == (host_id, incarnation, int(now_s))
        case refused:
            assert isinstance(refused, KeyMalformed) and len(key) > 255
    if other != organisation:
        assert isinstance(read(key, other), KeyMalformed)


@given(change=st.integers(0, 60), char=st.sampled_from("0123456789abcdef.x"))
def test_a_changed_prefix_is_refused(change: int, char: str) -> None:
    prefix = issue_prefix(
        ISSUING_KEY, own_host=describe_host("host", "1"), organisation=None, now_s=5.0
    )
    index = change % len(prefix)
    changed = f"{prefix[:index]}{char}{prefix[index + 1 :]}"
    match read(f"{changed}.text", None):
        case IssuedKey():
            assert changed == prefix
        case PlainKey():
            assert not changed.startswith("sk1.")
        case refused:
            assert isinstance(refused, KeyMalformed)


@given(text=st.text(st.characters(max_codepoint=255), max_size=300))
def test_plain_keys_are_visible_and_short(text: str) -> None:
    bare = text.strip()
    usable = 0 < len(bare) <= 255 and all("!" <= char <= "~" for char in bare)
    assert isinstance(read(text, None), PlainKey) == (
        usable and not bare.startswith("sk1.")
    )


@given(parts=st.tuples(NAMES, NAMES, st.binary(max_size=20)), other=st.binary())
def test_the_request_digest_tells_requests_apart(
    parts: tuple[str, str, bytes], other: bytes
) -> None:
    method, path, body = parts
    first = Request(request_id="a", method=method, path=path, body=body)
    moved = Request(request_id="b", method=method + path[:1], path=path[1:], body=body)
    changed = Request(request_id="c", method=method, path=path, body=other)
    assert digest_request(first) != digest_request(moved)
    assert (digest_request(first) == digest_request(changed)) == (body == other)
