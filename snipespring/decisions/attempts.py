"""Decide what the result of an attempt means for the caller and for retries."""

from math import inf
from random import Random

from attrs import frozen

from ..records import (
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
    Outcome,
    Ran,
    Request,
    RouteRule,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    SendBroken,
    ShedByServer,
    Unknown,
)

__all__ = [
    "Finish",
    "Retry",
    "attempt_headers",
    "attempt_limit",
    "attempt_timeout_s",
    "decide_after_attempt",
    "describe_result",
    "local_queue_margin_of",
    "local_risk_margin_of",
    "may_attempt_again",
    "most_informative_result",
    "outcome_of",
    "reached_no_server",
    "retry_delay_s",
]

MAX_ATTEMPTS = 3
MAX_UPLOAD_ATTEMPTS = 20
# A request is retried after up to this many connection failures, which do not count
# towards its attempt limit.
MAX_CONNECT_FAILURES = 2
CONNECT_FAILED_RETRY_AFTER_S = 0.2
MIN_ATTEMPT_TIMEOUT_S = 0.005
# Traffic between failure domains is billed; waiting within the latency objective is
# free.
LOCAL_QUEUE_MARGIN = 1
LOCAL_QUEUE_MARGIN_LARGE_BODY = 4
LARGE_BODY_BYTES = 16384
# Additional risk accepted to stay in the failure domain: a failed repeatable request
# costs a retry, any other failed request is lost.
LOCAL_RISK_MARGIN_REPEATABLE = 0.3
LOCAL_RISK_MARGIN_LARGE_BODY = 0.15
UPLOAD_ATTEMPT_SHARE = 0.5
MIN_UPLOAD_ATTEMPT_TIMEOUT_S = 1.0
MIN_UPLOAD_DELAY_S = 0.1
MAX_UPLOAD_DELAY_S = 2.0
UPLOAD_ID = "upload-id"
IDEMPOTENCY_KEY = "idempotency-key"
RETRIED_STATUSES = frozenset({500, 502, 503, 504})


@frozen(kw_only=True)
class Finish:
    """End the request with the results of its attempts."""


@frozen(kw_only=True)
class Retry:
    """Send the request again, to another server."""


def outcome_of(result: BackendResult) -> Outcome:
    """Return whether the result proves that the request ran or did not run."""
    match result:
        case Answered():
            return Ran()
        case ShedByServer(retry_after_s=retry_after_s):
            return NotRun(
                reason="the server shed the request", retry_after_s=retry_after_s
            )
        case ConnectFailed(reason=reason):
            return NotRun(
                reason=f"connection failed: {reason}",
                retry_after_s=CONNECT_FAILED_RETRY_AFTER_S,
            )
        case SendBroken(reason=reason):
            return Unknown(reason=f"connection lost: {reason}")
        case AnswerLate(waited_s=waited_s):
            return Unknown(reason=f"no answer within {waited_s:.2f} s")
        case AttemptCancelled():
            return Unknown(reason="the caller disconnected")
        case AnswerBroken(reason=reason):
            return Unknown(reason=f"the answer was incomplete or malformed: {reason}")
        case AnswerForeign():
            return Unknown(reason="the answer belonged to another request")


def describe_result(result: BackendResult) -> str:
    """Return a description of an attempt's result for the log."""
    match result:
        case Answered(status=status, origin=origin):
            return f"answered {status}{_describe_skipped(origin)}"
        case ShedByServer(is_replaced=True, origin=origin):
            return (
                "not run: another server has taken over the address"
                f"{_describe_origin(origin)}"
            )
        case ShedByServer(origin=origin):
            return f"not run: shed by the server{_describe_origin(origin)}"
        case (
            ConnectFailed(reason=reason)
            | SendBroken(reason=reason)
            | AnswerBroken(reason=reason)
        ):
            return f"{type(result).__name__}: {reason}"
        case AnswerLate(waited_s=waited_s) | AttemptCancelled(waited_s=waited_s):
            return f"{type(result).__name__} after {waited_s:.2f} s"
        case AnswerForeign(received_id=received_id):
            return f"answer to another request, {received_id}"


def _describe_origin(origin: AnswerOrigin | None) -> str:
    if origin is None:
        return ""
    echo = "with its id" if origin.has_id else "without an id"
    return (
        f" with status {origin.status} {echo}, behind {origin.earlier_answers} earlier "
        f"answers on the connection{_describe_skipped(origin)}"
    )


def _describe_skipped(origin: AnswerOrigin | None) -> str:
    if origin is None or origin.skipped_answers == 0:
        return ""
    return f", after {origin.skipped_answers} answers to other requests"


def most_informative_result(results: tuple[BackendResult, ...]) -> BackendResult:
    """Return the last answer, else the last result that leaves the outcome unknown.

    If no attempt can have run, return the last result.
    """
    for kind in (Ran, Unknown):
        for result in reversed(results):
            if isinstance(outcome_of(result), kind):
                return result
    return results[-1]


def decide_after_attempt(result: BackendResult, run: RunPolicy) -> Finish | Retry:
    """Return whether to retry.

    A retry is safe if the attempt provably did not run or the request is idempotent.
    """
    match result, outcome_of(result), run:
        case Answered(status=status), _, RunIdempotent() | RunAsUpload():
            return Retry() if status in RETRIED_STATUSES else Finish()
        case Answered(), _, RunOnce():
            return Finish()
        case _, NotRun(), _:
            return Retry()
        case _, Unknown(), RunIdempotent() | RunAsUpload():
            return Retry()
        case _:
            return Finish()


def attempt_headers(request: Request, run: RunPolicy) -> tuple[Header, ...]:
    """Return the headers of all attempts; those of an upload share one id."""
    headers = tuple(
        header for header in request.headers if header.name.lower() != UPLOAD_ID
    )
    match run:
        case RunIdempotent() | RunOnce():
            return headers
        case RunAsUpload():
            keys = (
                header.value
                for header in headers
                if header.name.lower() == IDEMPOTENCY_KEY
            )
            upload_id = next(keys, request.request_id)
            return (*headers, Header(name="Upload-Id", value=upload_id))


def attempt_limit(route: RouteRule) -> int:
    """Return the maximum number of attempts, without connection failures."""
    match route.run:
        case RunIdempotent() | RunOnce():
            limit = MAX_ATTEMPTS
        case RunAsUpload():
            limit = MAX_UPLOAD_ATTEMPTS
    return limit if route.max_attempts is None else min(limit, route.max_attempts)


def reached_no_server(result: BackendResult) -> bool:
    """Return whether the attempt reached no server and so caused no load."""
    return isinstance(result, ConnectFailed)


def may_attempt_again(route: RouteRule, results: list[BackendResult]) -> bool:
    """Return whether another attempt is allowed.

    Connection failures have a limit of their own.
    """
    connect_failures = sum(reached_no_server(result) for result in results)
    return (
        len(results) - connect_failures < attempt_limit(route)
        and connect_failures <= MAX_CONNECT_FAILURES
    )


def attempt_timeout_s(run: RunPolicy, *, remaining_s: float, is_last: bool) -> float:
    """Return the timeout of one attempt in seconds, with time left for a retry."""
    match run:
        case RunIdempotent(attempt_share=attempt_share) if not is_last:
            timeout_s = remaining_s * attempt_share
        case RunAsUpload() if not is_last:
            timeout_s = min(
                remaining_s,
                max(MIN_UPLOAD_ATTEMPT_TIMEOUT_S, remaining_s * UPLOAD_ATTEMPT_SHARE),
            )
        case RunIdempotent() | RunOnce() | RunAsUpload():
            timeout_s = remaining_s
    return max(MIN_ATTEMPT_TIMEOUT_S, timeout_s)


def local_queue_margin_of(route: RouteRule, body_bytes: int) -> int:
    """Return how many requests may queue before this one in its failure domain."""
    if body_bytes >= LARGE_BODY_BYTES:
        return LOCAL_QUEUE_MARGIN_LARGE_BODY
    return 0 if route.objective_s == inf else LOCAL_QUEUE_MARGIN


def local_risk_margin_of(route: RouteRule, body_bytes: int) -> float:
    """Return the additional risk of failure accepted to stay in the failure domain."""
    match route.run:
        case RunIdempotent() | RunAsUpload():
            return LOCAL_RISK_MARGIN_REPEATABLE
        case RunOnce():
            return (
                LOCAL_RISK_MARGIN_LARGE_BODY if body_bytes >= LARGE_BODY_BYTES else 0.0
            )


def retry_delay_s(run: RunPolicy, retries: int, rng: Random) -> float:
    """Return the delay in seconds before a retry that follows `retries` others."""
    match run:
        case RunIdempotent() | RunOnce():
            return 0.0
        case RunAsUpload():
            delay_s = min(MAX_UPLOAD_DELAY_S, MIN_UPLOAD_DELAY_S * 2.0**retries)
            return delay_s * rng.uniform(0.5, 1.5)
