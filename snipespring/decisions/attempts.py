"""Decide what the results of attempts mean for the caller and for a retry."""

from math import inf
from random import Random

from attrs import frozen

from ..records import (
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
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
    "most_informative_result",
    "decide_after_attempt",
    "describe_result",
    "reached_no_server",
    "may_attempt_again",
    "local_queue_margin_of",
    "local_risk_margin_of",
    "outcome_of",
    "retry_delay_s",
]

MAX_ATTEMPTS = 3
MAX_UPLOAD_ATTEMPTS = 20
MAX_CONNECT_FAILURES = 2  # servers that cannot be reached, beside those that count
CONNECT_FAILED_RETRY_AFTER_S = 0.2
MIN_ATTEMPT_TIMEOUT_S = 0.005
# Bytes between domains are priced; a wait within the objective costs nothing.
LOCAL_QUEUE_MARGIN = 1
LOCAL_QUEUE_MARGIN_LARGE_BODY = 4
LARGE_BODY_BYTES = 16384
# A failure of a repeatable request costs a repetition, not the request.
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
    """End the request with what its attempts gave."""


@frozen(kw_only=True)
class Retry:
    """Send the request once more, to another server."""


def outcome_of(result: BackendResult) -> Outcome:
    """Return what the result proves about the request having run."""
    match result:
        case Answered():
            return Ran()
        case ShedByServer(retry_after_s=retry_after_s):
            return NotRun(reason="the server shed it", retry_after_s=retry_after_s)
        case ConnectFailed(reason=reason):
            return NotRun(
                reason=f"no connection: {reason}",
                retry_after_s=CONNECT_FAILED_RETRY_AFTER_S,
            )
        case SendBroken(reason=reason):
            return Unknown(reason=f"the connection broke: {reason}")
        case AnswerLate(waited_s=waited_s):
            return Unknown(reason=f"no answer within {waited_s:.2f} s")
        case AttemptCancelled():
            return Unknown(reason="the caller left")
        case AnswerBroken(reason=reason):
            return Unknown(reason=f"the answer was not whole: {reason}")
        case AnswerForeign():
            return Unknown(reason="the answer belonged to another request")


def describe_result(result: BackendResult) -> str:
    """Return how an attempt ended, in words for the log."""
    match result:
        case Answered(status=status):
            return f"answered {status}"
        case ShedByServer(is_replaced=True):
            return "not run: another server has the address"
        case ShedByServer():
            return "not run: shed by the server"
        case (
            ConnectFailed(reason=reason)
            | SendBroken(reason=reason)
            | AnswerBroken(reason=reason)
        ):
            return f"{type(result).__name__}: {reason}"
        case AnswerLate(waited_s=waited_s) | AttemptCancelled(waited_s=waited_s):
            return f"{type(result).__name__} after {waited_s:.2f} s"
        case AnswerForeign(received_id=received_id):
            return f"an answer to request {received_id}"


def most_informative_result(results: tuple[BackendResult, ...]) -> BackendResult:
    """Return the result that tells most: an answer, else a doubt, else the last."""
    for kind in (Ran, Unknown):
        for result in reversed(results):
            if isinstance(outcome_of(result), kind):
                return result
    return results[-1]


def decide_after_attempt(result: BackendResult, run: RunPolicy) -> Finish | Retry:
    """Return whether another attempt is safe; only proof or idempotence makes it."""
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
    """Return the headers of every attempt; an upload carries one id in all."""
    kept = tuple(one for one in request.headers if one.name.lower() != UPLOAD_ID)
    match run:
        case RunIdempotent() | RunOnce():
            return kept
        case RunAsUpload():
            keys = (one.value for one in kept if one.name.lower() == IDEMPOTENCY_KEY)
            upload_id = next(keys, request.request_id)
            return (*kept, Header(name="Upload-Id", value=upload_id))


def attempt_limit(route: RouteRule) -> int:
    """Return how often a request may be sent."""
    match route.run:
        case RunIdempotent() | RunOnce():
            limit = MAX_ATTEMPTS
        case RunAsUpload():
            limit = MAX_UPLOAD_ATTEMPTS
    return limit if route.max_attempts is None else min(limit, route.max_attempts)


def reached_no_server(result: BackendResult) -> bool:
    """Return whether the attempt cost no server anything."""
    return isinstance(result, ConnectFailed)


def may_attempt_again(route: RouteRule, results: list[BackendResult]) -> bool:
    """Return whether one more attempt keeps the limit; free ones count apart."""
    free = sum(reached_no_server(result) for result in results)
    return len(results) - free < attempt_limit(route) and free <= MAX_CONNECT_FAILURES


def attempt_timeout_s(run: RunPolicy, *, remaining_s: float, is_last: bool) -> float:
    """Return the timeout of one attempt in seconds, keeping time for a retry."""
    match run:
        case RunIdempotent(attempt_share=attempt_share) if not is_last:
            share_s = remaining_s * attempt_share
        case RunAsUpload() if not is_last:
            share_s = min(
                remaining_s,
                max(MIN_UPLOAD_ATTEMPT_TIMEOUT_S, remaining_s * UPLOAD_ATTEMPT_SHARE),
            )
        case RunIdempotent() | RunOnce() | RunAsUpload():
            share_s = remaining_s
    return max(MIN_ATTEMPT_TIMEOUT_S, share_s)


def local_queue_margin_of(route: RouteRule, body_bytes: int) -> int:
    """Return how many requests may wait before this one in its failure domain."""
    if body_bytes >= LARGE_BODY_BYTES:
        return LOCAL_QUEUE_MARGIN_LARGE_BODY
    return 0 if route.objective_s == inf else LOCAL_QUEUE_MARGIN


def local_risk_margin_of(route: RouteRule, body_bytes: int) -> float:
    """Return the risk of failure that staying in the failure domain is worth."""
    match route.run:
        case RunIdempotent() | RunAsUpload():
            return LOCAL_RISK_MARGIN_REPEATABLE
        case RunOnce():
            return (
                LOCAL_RISK_MARGIN_LARGE_BODY if body_bytes >= LARGE_BODY_BYTES else 0.0
            )


def retry_delay_s(run: RunPolicy, retries: int, rng: Random) -> float:
    """Return the seconds to wait before a retry, `retries` having gone before."""
    match run:
        case RunIdempotent() | RunOnce():
            return 0.0
        case RunAsUpload():
            delay_s = min(MAX_UPLOAD_DELAY_S, MIN_UPLOAD_DELAY_S * 2.0**retries)
            return delay_s * rng.uniform(0.5, 1.5)
