import base64
from collections.abc import Callable
from urllib.parse import quote, quote_plus

import pytest
from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.decisions.keys import (
    Authenticated,
    KeyRefused,
    authenticate,
    digest_key,
    strip_key,
)
from snipespring.records import (
    Configuration,
    Header,
    KeyAccess,
    OpenAccess,
    OrganisationName,
    Request,
    RouteRule,
    RunIdempotent,
    ServiceName,
)
from standins.harness import run_limited

OWNER = OrganisationName("valeters")
OTHER = OrganisationName("hauliers")
ROUTE = RouteRule(
    methods=("GET",),
    prefix="/",
    service=ServiceName("ledger"),
    access=KeyAccess(),
    run=RunIdempotent(),
    asked_by="Nora",
)
OPEN_ROUTE = RouteRule(
    methods=("GET",),
    prefix="/",
    service=ServiceName("ledger"),
    access=OpenAccess(),
    run=RunIdempotent(),
    asked_by="Nora",
)
keys = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=8)
words = st.text("abcxyz019", max_size=5)


def percent_encode(text: str) -> str:
    return "".join(f"%{byte:02x}" for byte in text.encode())


def percent_encode_mixed_case(text: str) -> str:
    pairs = enumerate(text.encode())
    return "".join(f"%{b:02X}" if n % 2 else f"%{b:02x}" for n, b in pairs)


def to_base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def to_url_base64(text: str) -> str:
    return base64.urlsafe_b64encode(text.encode()).decode().rstrip("=")


ENCODINGS: tuple[Callable[[str], str], ...] = (
    str,
    quote,
    quote_plus,
    percent_encode,
    percent_encode_mixed_case,
    lambda text: quote(quote(text, safe=""), safe=""),
    lambda text: percent_encode(percent_encode(text)),
    to_base64,
    to_url_base64,
    lambda text: to_base64(f"user:{text}"),
    lambda text: to_base64(f"{text}:"),
    lambda text: quote(to_base64(text), safe=""),
    lambda text: to_base64(percent_encode(text)),
    lambda text: text.encode().hex(),
    lambda text: text.encode().hex().upper(),
    lambda text: to_base64(to_base64(text)),
    lambda text: base64.b64encode(b"\xff" + text.encode()).decode(),
    lambda text: base64.b64encode(b"\xff\xfe" + text.encode()).decode(),
    lambda text: "0" + text.encode().hex().upper(),
)
identities = st.sampled_from(["Organisation", "X_Organisation"])
encodings = st.sampled_from(ENCODINGS)


@st.composite
def requests_with_key(draw: st.DrawFn, key: str) -> Request:
    def encoded_key() -> str:
        return draw(encodings)(key)

    headers = [
        Header(name="Api-Key", value=key),
        Header(name="Accept", value="text/plain"),
        Header(name="Cookie", value=f"a={draw(words)}; k={encoded_key()}; b=1"),
        Header(name="Referer", value=f"http://x/?k={encoded_key()}"),
        Header(name="X-Copy", value=f"{draw(words)} {encoded_key()}"),
        Header(name="Authorization", value=f"Basic {encoded_key()}"),
        Header(
            name=draw(st.sampled_from(["Organisation", "X_Organisation"])), value="x"
        ),
    ]
    query = f"a={draw(words)}&k={quote(encoded_key(), safe='')}&api_key={encoded_key()}"
    return Request(
        request_id="r", method="GET", path=f"/x?{query}", headers=tuple(headers)
    )


def list_texts(request: Request) -> list[str]:
    names = [header.name for header in request.headers]
    values = [header.value for header in request.headers]
    return [request.path, *names, *values]


@given(st.data(), keys)
def test_no_encoding_of_the_key_is_forwarded(data: st.DataObject, key: str) -> None:
    stripped = strip_key(data.draw(requests_with_key(key)), key)
    for text in list_texts(stripped):
        for encode in ENCODINGS:
            assert encode(key) not in text
    names = {header.name for header in stripped.headers}
    assert names <= {"Accept", "Cookie", "Referer", "X-Copy"}
    assert Header(name="Accept", value="text/plain") in stripped.headers


def test_other_cookies_and_parameters_are_kept() -> None:
    key = "a-long-test-key"
    request = Request(
        request_id="r",
        method="GET",
        path=f"/x?a=1&k={key}&b=2",
        headers=(Header(name="Cookie", value=f"s=1; k={key}; t=2"),),
    )
    stripped = strip_key(request, key)
    assert stripped.path == "/x?a=1&b=2"
    assert stripped.headers == (Header(name="Cookie", value="s=1; t=2"),)


def make_configuration(key: str) -> Configuration:
    other = digest_key("the-key-of-another")
    return Configuration(version=1, keys=Map({digest_key(key): OWNER, other: OTHER}))


@given(keys, st.sampled_from(["Organisation", "organisation", "X-Organisation"]))
def test_request_runs_for_the_owner_of_its_key(key: str, name: str) -> None:
    claimed = Header(name=name, value=OTHER)
    request = Request(
        request_id="r",
        method="GET",
        path="/x",
        headers=(claimed, Header(name="Api-Key", value=key)),
    )
    admitted = authenticate(make_configuration(key), ROUTE, request)
    assert admitted == Authenticated(organisation=OWNER, key=key)
    assert strip_key(request, key).headers == ()


@pytest.mark.parametrize("route", [ROUTE, OPEN_ROUTE])
@given(keys, encodings)
def test_key_in_the_path_is_refused(
    route: RouteRule, key: str, encode: Callable[[str], str]
) -> None:
    header = Header(name="Api-Key", value=key)
    path = f"/x/{quote(encode(key), safe='')}/y"
    request = Request(request_id="r", method="GET", path=path, headers=(header,))
    refused = authenticate(make_configuration(key), route, request)
    assert isinstance(refused, KeyRefused)


@pytest.mark.parametrize("key", [None, "short", "a-key-nobody-has"])
def test_missing_short_or_unknown_key_is_refused(key: str | None) -> None:
    headers = (Header(name="Api-Key", value=key),) if key else ()
    request = Request(request_id="r", method="GET", path="/x", headers=headers)
    refused = authenticate(make_configuration("the-valid-key"), ROUTE, request)
    assert isinstance(refused, KeyRefused)


def test_revoked_key_is_refused() -> None:
    header = Header(name="Api-Key", value="the-valid-key")
    request = Request(request_id="r", method="GET", path="/x", headers=(header,))
    assert isinstance(
        authenticate(make_configuration("the-valid-key"), ROUTE, request), Authenticated
    )
    assert isinstance(authenticate(Configuration(), ROUTE, request), KeyRefused)


STRIP = """
import sys
from snipespring.decisions.keys import strip_key
from snipespring.records import Header, Request
key = "k" * int(sys.stdin.read())
cookie = Header(name="Cookie", value="a;" * len(key) + key)
request = Request(
    request_id="r", method="GET", path="/x?" + "a&" * len(key) + key, host="h",
    headers=(Header(name="Api-Key", value=key), cookie), body=b"", deadline_s=None,
)
stripped = strip_key(request, key)
print(key in stripped.path or any(key in header.value for header in stripped.headers))
"""
STRIPPING_LIMIT_S = 30.0


def test_a_long_key_is_removed_in_linear_time() -> None:
    # Guards against a request that occupies a host by a key and many parameters.
    assert run_limited(STRIP, b"100000", limit_s=STRIPPING_LIMIT_S) == "False"
