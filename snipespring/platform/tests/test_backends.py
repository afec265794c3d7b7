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


def answer(status: int, *fields: tuple[str, str]) -> ServerAnswer:
    headers = tuple(Header(name=name, value=value) for name, value in fields)
    return ServerAnswer(status=status, headers=headers, body=b"x")


def decode(status: int, *fields: tuple[str, str]) -> object:
    return PlatformEncoding().decode_answer(answer(status, *fields), ATTEMPT)


def test_attempt_carries_what_is_left_and_whom_it_is_for() -> None:
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
def test_failure_of_a_server_is_relayed(status: int) -> None:
    assert isinstance(decode(status, SEAL), Answered)


def test_server_that_did_not_run_it_says_so() -> None:
    result = decode(503, NOT_RUN, ("Retry-After", "0.25"))
    assert result == ShedByServer(retry_after_s=0.25)


def test_another_server_at_the_address_is_told_apart() -> None:
    result = decode(421, ("Snipespring-Instance-Id", "i-02d9e6b4"))
    assert result == ShedByServer(retry_after_s=None, is_replaced=True)
