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
OPEN = RouteRule(
    methods=("GET",),
    prefix="/",
    service=ServiceName("ledger"),
    access=OpenAccess(),
    run=RunIdempotent(),
    asked_by="Nora",
)
keys = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=8)
words = st.text("abcxyz019", max_size=5)


def percent_all(text: str) -> str:
    return "".join(f"%{byte:02x}" for byte in text.encode())


def percent_mixed(text: str) -> str:
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
    percent_all,
    percent_mixed,
    lambda text: quote(quote(text, safe=""), safe=""),
    lambda text: percent_all(percent_all(text)),
    to_base64,
    to_url_base64,
    lambda text: to_base64(f"user:{text}"),
    lambda text: to_base64(f"{text}:"),
    lambda text: quote(to_base64(text), safe=""),
    lambda text: to_base64(percent_all(text)),
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
def requests(draw: st.DrawFn, key: str) -> Request:
    def hidden() -> str:
        return draw(encodings)(key)

    headers = [
        Header(name="Api-Key", value=key),
        Header(name="Accept", value="text/plain"),
        Header(name="Cookie", value=f"a={draw(words)}; k={hidden()}; b=1"),
        Header(name="Referer", value=f"http://x/?k={hidden()}"),
        Header(name="X-Copy", value=f"{draw(words)} {hidden()}"),
        Header(name="Authorization", value=f"Basic {hidden()}"),
        Header(
            name=draw(st.sampled_from(["Organisation", "X_Organisation"])), value="x"
        ),
    ]
    query = f"a={draw(words)}&k={quote(hidden(), safe='')}&api_key={hidden()}"
    return Request(
        request_id="r", method="GET", path=f"/x?{query}", headers=tuple(headers)
    )


def every_text(request: Request) -> list[str]:
    names = [header.name for header in request.headers]
    values = [header.value for header in request.headers]
    return [request.path, *names, *values]


@given(st.data(), keys)
def test_no_form_of_the_key_goes_on(data: st.DataObject, key: str) -> None:
    stripped = strip_key(data.draw(requests(key)), key)
    for text in every_text(stripped):
        for encode in ENCODINGS:
            assert encode(key) not in text
    names = {header.name for header in stripped.headers}
    assert names <= {"Accept", "Cookie", "Referer", "X-Copy"}
    assert Header(name="Accept", value="text/plain") in stripped.headers


def test_cookies_and_query_keep_what_is_not_the_key() -> None:
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


def configuration(key: str) -> Configuration:
    other = digest_key("the-key-of-another")
    return Configuration(version=1, keys=Map({digest_key(key): OWNER, other: OTHER}))


@given(keys, st.sampled_from(["Organisation", "organisation", "X-Organisation"]))
def test_a_request_runs_for_the_owner_of_its_key(key: str, name: str) -> None:
    claimed = Header(name=name, value=OTHER)
    request = Request(
        request_id="r",
        method="GET",
        path="/x",
        headers=(claimed, Header(name="Api-Key", value=key)),
    )
    admitted = authenticate(configuration(key), ROUTE, request)
    assert admitted == Authenticated(organisation=OWNER, key=key)
    assert strip_key(request, key).headers == ()


@pytest.mark.parametrize("route", [ROUTE, OPEN])
@given(keys, encodings)
def test_a_key_in_the_path_is_refused(
    route: RouteRule, key: str, encode: Callable[[str], str]
) -> None:
    header = Header(name="Api-Key", value=key)
    path = f"/x/{quote(encode(key), safe='')}/y"
    request = Request(request_id="r", method="GET", path=path, headers=(header,))
    refused = authenticate(configuration(key), route, request)
    assert isinstance(refused, KeyRefused)


@pytest.mark.parametrize("key", [None, "short", "a-key-nobody-has"])
def test_a_missing_short_or_unknown_key_is_refused(key: str | None) -> None:
    headers = (Header(name="Api-Key", value=key),) if key else ()
    request = Request(request_id="r", method="GET", path="/x", headers=headers)
    refused = authenticate(configuration("the-valid-key"), ROUTE, request)
    assert isinstance(refused, KeyRefused)


def test_a_withdrawn_key_is_refused() -> None:
    header = Header(name="Api-Key", value="the-valid-key")
    request = Request(request_id="r", method="GET", path="/x", headers=(header,))
    assert isinstance(
        authenticate(configuration("the-valid-key"), ROUTE, request), Authenticated
    )
    assert isinstance(authenticate(Configuration(), ROUTE, request), KeyRefused)
