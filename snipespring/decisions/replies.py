"""Build the replies to callers from results and outcomes of attempts."""

from attrs import evolve

from ..records import (
    Answered,
    BackendResult,
    Header,
    NotRun,
    Outcome,
    Ran,
    Reply,
    Unknown,
)

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "make_answer_reply",
    "cap_retry_after",
    "make_outcome_reply",
    "make_result_reply",
    "status_for_outcome",
]

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)
INTERNAL_HEADERS = frozenset(
    {"request-id", "load", "shed", "content-length", "date", "server"}
)
# A caller ignores a retry delay of more than a third of the time that it has left, so
# the delay in a reply is at most this share of the remaining time.
RETRY_AFTER_MAX_SHARE = 0.3
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


def make_answer_reply(request_id: str, answer: Answered) -> Reply:
    """Return the reply that passes on the complete answer of a server."""
    dropped = HOP_BY_HOP_HEADERS | INTERNAL_HEADERS
    if not answer.body:
        # A reply to HEAD has no body but gives the length that GET would return.
        dropped -= {"content-length"}
    headers = tuple(
        header for header in answer.headers if header.name.lower() not in dropped
    )
    return Reply(
        request_id=request_id,
        status=answer.status,
        outcome=Ran(),
        headers=headers,
        body=answer.body,
    )


def make_outcome_reply(
    request_id: str, outcome: Outcome, *, status: int | None = None
) -> Reply:
    """Return a reply to send without a server answer; its body states the reason."""
    reason = outcome.reason if isinstance(outcome, NotRun | Unknown) else ""
    return Reply(
        request_id=request_id,
        status=status if status is not None else status_for_outcome(outcome),
        outcome=outcome,
        headers=(Header(name="Content-Type", value="text/plain; charset=utf-8"),),
        body=f"{reason}\n".encode(),
    )


def cap_retry_after(outcome: Outcome, *, remaining_s: float) -> Outcome:
    """Return the outcome with its retry delay limited to a share of `remaining_s`."""
    max_delay_s = max(0.0, remaining_s * RETRY_AFTER_MAX_SHARE)
    match outcome:
        case NotRun(retry_after_s=float() as delay_s) if delay_s > max_delay_s:
            return evolve(outcome, retry_after_s=max_delay_s)
        case _:
            return outcome


def status_for_outcome(outcome: Outcome) -> int:
    """Return the HTTP status of a reply that is sent without a server answer."""
    match outcome:
        case NotRun():
            return STATUS_UNAVAILABLE
        case Unknown() | Ran():
            return STATUS_GATEWAY_TIMEOUT


def make_result_reply(
    request_id: str, result: BackendResult, outcome: Outcome
) -> Reply:
    """Return the reply for the result of the last attempt."""
    match result:
        case Answered() as answer:
            return make_answer_reply(request_id, answer)
        case _:
            return make_outcome_reply(request_id, outcome)
