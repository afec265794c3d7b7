from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.attempts import (
    Finish,
    Retry,
    attempt_headers,
    attempt_timeout_s,
    decide_after_attempt,
    describe_result,
    most_informative_result,
    outcome_of,
    retry_delay_s,
)
from snipespring.records import (
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
    AnswerOrigin,
    AttemptCancelled,
    BackendResult,
    ConnectFailed,
    Header,
    NotRun,
    Ran,
    Request,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    SendBroken,
    ShedByServer,
    Unknown,
)

UNKNOWN_RESULTS: list[BackendResult] = [
    SendBroken(reason="reset"),
    AnswerLate(waited_s=1.0),
    AnswerBroken(reason="short"),
    AnswerForeign(expected_id="a", received_id="b"),
    AttemptCancelled(waited_s=1.0),
]
NOT_RUN_RESULTS: list[BackendResult] = [
    ShedByServer(retry_after_s=0.1),
    ConnectFailed(reason="refused"),
]
ANSWERED_RESULTS: list[BackendResult] = [
    Answered(status=status, headers=(), body=b"") for status in (200, 404, 500, 503)
]
results = st.sampled_from(UNKNOWN_RESULTS + NOT_RUN_RESULTS + ANSWERED_RESULTS)
runs = st.sampled_from([RunIdempotent(), RunOnce(), RunAsUpload()])


@given(result=results)
def test_run_once_is_retried_only_if_proven_not_run(
    result: BackendResult,
) -> None:
    match decide_after_attempt(result, RunOnce()):
        case Retry():
            assert result in NOT_RUN_RESULTS
        case Finish():
            assert result not in NOT_RUN_RESULTS


@given(attempts=st.lists(results, min_size=1, max_size=5))
def test_not_run_is_reported_only_if_no_attempt_can_have_run(
    attempts: list[BackendResult],
) -> None:
    match outcome_of(most_informative_result(tuple(attempts))):
        case NotRun():
            assert all(result in NOT_RUN_RESULTS for result in attempts)
        case Unknown():
            assert not any(result in ANSWERED_RESULTS for result in attempts)
        case Ran():
            assert any(result in ANSWERED_RESULTS for result in attempts)


def test_the_log_tells_on_what_a_refusal_rests() -> None:
    origin = AnswerOrigin(status=503, has_id=True, earlier_answers=4, skipped_answers=1)
    assert describe_result(ShedByServer(retry_after_s=None, origin=origin)) == (
        "not run: shed by the server with status 503 with its id, behind 4 earlier "
        "answers on the connection, after 1 answers to other requests"
    )
    answer = Answered(status=200, headers=(), body=b"", origin=origin)
    assert describe_result(answer) == (
        "answered 200, after 1 answers to other requests"
    )


@pytest.mark.parametrize("status", [200, 201, 404, 409, 500, 503])
def test_upload_is_retried_after_server_errors_only(status: int) -> None:
    answer = Answered(status=status, headers=(), body=b"")
    decision = decide_after_attempt(answer, RunAsUpload())
    assert decision == (Retry() if status >= 500 else Finish())


@given(run=runs, left_s=st.floats(0.01, 30.0), last=st.booleans())
def test_attempt_timeout_is_within_deadline(
    run: RunPolicy, left_s: float, last: bool
) -> None:
    assert 0.0 < attempt_timeout_s(run, remaining_s=left_s, is_last=last) <= left_s


@given(run=runs, retries=st.integers(0, 30), seed=st.integers(0, 9))
def test_retry_delay_is_bounded(run: RunPolicy, retries: int, seed: int) -> None:
    assert 0.0 <= retry_delay_s(run, retries, Random(seed)) <= 3.0


@given(key=st.none() | st.text(min_size=1), has_upload_id=st.booleans())
def test_all_attempts_of_upload_have_same_id(
    key: str | None, has_upload_id: bool
) -> None:
    headers = [Header(name="Idempotency-Key", value=key)] if key else []
    if has_upload_id:
        headers.append(Header(name="upload-id", value="forged"))
    request = Request(request_id="r", method="PUT", path="/", headers=tuple(headers))
    sent = attempt_headers(request, RunAsUpload())
    ids = [header.value for header in sent if header.name.lower() == "upload-id"]
    assert ids == [key or "r"]
    run_once_headers = attempt_headers(request, RunOnce())
    assert all(header.name.lower() != "upload-id" for header in run_once_headers)
