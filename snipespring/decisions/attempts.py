"""Decide what the result of one attempt means for the caller and for a retry."""

from attrs import frozen

from ..records import (
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
    BackendResult,
    ConnectFailed,
    NotRun,
    Outcome,
    Ran,
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
    "TryAgain",
    "attempt_timeout_s",
    "decide_after_attempt",
    "outcome_of",
]

OVERLOADED_RETRY_S = 0.2
MIN_ATTEMPT_S = 0.005
RETRY_RESERVE = 0.5


@frozen(kw_only=True)
class Finish:
    """End the request with this outcome."""

    outcome: Outcome


@frozen(kw_only=True)
class TryAgain:
    """Send the request once more, to another server."""

    outcome: Outcome


def outcome_of(result: BackendResult) -> Outcome:
    """Return what the result proves about the request having run."""
    match result:
        case Answered():
            return Ran()
        case ShedByServer(retry_after_s=retry_after_s):
            return NotRun(reason="the server shed it", retry_after_s=retry_after_s)
        case ConnectFailed(reason=reason):
            return NotRun(
                reason=f"no connection: {reason}", retry_after_s=OVERLOADED_RETRY_S
            )
        case SendBroken(reason=reason):
            return Unknown(reason=f"the connection broke: {reason}")
        case AnswerLate(waited_s=waited_s):
            return Unknown(reason=f"no answer within {waited_s:.2f} s")
        case AnswerBroken(reason=reason):
            return Unknown(reason=f"the answer was not whole: {reason}")
        case AnswerForeign():
            return Unknown(reason="the answer belonged to another request")


def decide_after_attempt(
    result: BackendResult, run: RunPolicy, *, may_retry: bool
) -> Finish | TryAgain:
    """Return whether to try again; only proof or idempotence permits it."""
    outcome = outcome_of(result)
    if not may_retry:
        return Finish(outcome=outcome)
    match outcome, run:
        case Ran(), _:
            return Finish(outcome=outcome)
        case NotRun(), _:
            return TryAgain(outcome=outcome)
        case Unknown(), RunIdempotent() | RunAsUpload():
            return TryAgain(outcome=outcome)
        case Unknown(), RunOnce():
            return Finish(outcome=outcome)
    raise AssertionError("the match above is exhaustive")


def attempt_timeout_s(run: RunPolicy, *, left_s: float, last: bool) -> float:
    """Return the timeout of one attempt in seconds, keeping time for a retry."""
    match run:
        case RunIdempotent() if not last:
            share_s = left_s * RETRY_RESERVE
        case RunIdempotent() | RunOnce() | RunAsUpload():
            share_s = left_s
    return max(MIN_ATTEMPT_S, share_s)
