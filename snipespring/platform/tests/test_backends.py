import pytest

from snipespring.frontends.backends import ServerAnswer
from snipespring.platform.backends import PlatformEncoding
from snipespring.records import (
    Address,
    AnswerBroken,
    Answered,
    BackendRequest,
    Header,
    OrganisationName,
    ReportedLoad,
    ServerId,
    ServerNotices,
    ServiceName,
    ShedByServer,
)

SERVER = ServerId(
    service=ServiceName("ledger"),
    address=Address(ip="10.0.0.1", port=1),
    instance="i-7f3a91c2",
)
ATTEMPT = BackendRequest(
    request_id="9c41-1",
    caller_request_id="9c41",
    attempt=1,
    method="POST",
    path="/a",
    organisation=OrganisationName("cuka620"),
    headers=(Header(name="Host", value="hulo84.example"),),
    body=b"",
    timeout_s=1.0,
)
SEAL = ("Snipespring-Server-Seal", "3e1b")
NOT_RUN = ("Snipespring-Not-Executed", "1")


def make_answer(status: int, *fields: tuple[str, str]) -> ServerAnswer:
    headers = tuple(Header(name=name, value=value) for name, value in fields)
    return ServerAnswer(status=status, headers=headers, body=b"x")


def decode(status: int, *fields: tuple[str, str]) -> object:
    return PlatformEncoding().decode_answer(make_answer(status, *fields), ATTEMPT)


def test_attempt_carries_remaining_time_instance_and_tenant() -> None:
    headers = PlatformEncoding().encode_headers(SERVER, ATTEMPT, remaining_s=0.7504)
    assert {header.name: header.value for header in headers} == {
        "Host": "hulo84.example",
        "Snipespring-Request-Id": "9c41",
        "Snipespring-Deadline-Ms": "750",
        "Snipespring-Expect-Instance": "i-7f3a91c2",
        "Snipespring-Tenant": "cuka620",
    }


def test_sealed_success_is_an_answer_with_its_load() -> None:
    result = decode(200, SEAL, ("Snipespring-Server-Load", "3,2,3"))
    assert isinstance(result, Answered)
    assert result.load == ReportedLoad(busy=5, slots=3)


@pytest.mark.parametrize(
    "load",
    ["9" * 400 + ",0,3", "1,2," + "9" * 5000, "-1,0,3", "1,2", "1,2,3,4", "a,b,c"],
)
def test_a_load_that_no_server_can_have_is_ignored(load: str) -> None:
    # Guards against an answer whose load ends its request with an exception.
    result = decode(200, SEAL, ("Snipespring-Server-Load", load))
    assert isinstance(result, Answered)
    assert result.load is None


@pytest.mark.parametrize(
    ("status", "fields"),
    [
        (200, ()),
        (204, ()),
        (302, ()),
        (200, (SEAL, ("Content-Encoding", "gzip"))),
        (503, (SEAL,)),
        (429, (SEAL,)),
        (408, ()),
        (421, ()),
    ],
)
def test_answer_that_callers_would_misread_is_not_relayed(
    status: int, fields: tuple[tuple[str, str], ...]
) -> None:
    assert isinstance(decode(status, *fields), AnswerBroken)


@pytest.mark.parametrize("status", [400, 404, 500, 502, 504])
def test_server_error_is_relayed(status: int) -> None:
    assert isinstance(decode(status, SEAL), Answered)


def test_not_executed_answer_is_shed() -> None:
    result = decode(503, NOT_RUN, ("Retry-After", "0.25"))
    assert result == ShedByServer(
        retry_after_s=0.25, notices=ServerNotices(pause_s=0.25)
    )


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [
        ("4.7", 4.7),
        ("1", 1.0),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e999", None),
        ("many", None),
        ("", None),
    ],
)
@pytest.mark.parametrize("fields", [(SEAL,), (SEAL, NOT_RUN)])
def test_named_limit_is_read_from_any_answer(
    text: str, limit_per_s: float | None, fields: tuple[tuple[str, str], ...]
) -> None:
    result = decode(503, *fields, ("Server-Limit", text))
    assert isinstance(result, ShedByServer | AnswerBroken)
    assert result.notices == ServerNotices(limit_per_s=limit_per_s)
    answered = decode(200, *fields[:1], ("Server-Limit", text))
    assert isinstance(answered, Answered)
    assert answered.notices == ServerNotices(limit_per_s=limit_per_s)


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [
        ("0.25", 0.25),
        ("7", 7.0),
        ("0", 0.0),
        ("1e9", 1e9),
        ("-1", None),
        ("nan", None),
        ("1e999", None),
        ("Fri, 31 Dec 1999 23:59:59 GMT", None),
        ("", None),
    ],
)
@pytest.mark.parametrize("fields", [(SEAL,), (SEAL, NOT_RUN), ()])
def test_pause_is_read_from_a_503_with_and_without_proof(
    text: str, pause_s: float | None, fields: tuple[tuple[str, str], ...]
) -> None:
    result = decode(503, *fields, ("Retry-After", text))
    assert isinstance(result, ShedByServer | AnswerBroken)
    assert result.notices == ServerNotices(pause_s=pause_s)


@pytest.mark.parametrize(
    ("text", "is_leaving"), [("1", True), (" 1 ", True), ("0", False), ("yes", False)]
)
@pytest.mark.parametrize("status", [200, 404, 500])
def test_leaving_is_read_from_any_answer_and_passed_on(
    text: str, is_leaving: bool, status: int
) -> None:
    field = ("Server-Leaving", text)
    result = decode(status, SEAL, field)
    assert isinstance(result, Answered)
    assert result.notices.is_leaving == is_leaving
    assert Header(name=field[0], value=text) in result.headers


def test_other_instance_at_the_address_is_a_replacement() -> None:
    result = decode(421, ("Snipespring-Instance-Id", "i-02d9e6b4"))
    assert result == ShedByServer(retry_after_s=None, is_replaced=True)
