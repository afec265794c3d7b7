"""Build the reply that states an outcome truthfully."""

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
RETRY_AFTER_MAX_SHARE = (
    0.3  # callers wait up to a third of the time that they have left
)
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


def make_answer_reply(request_id: str, answer: Answered) -> Reply:
    """Return a server's whole answer as the reply."""
    dropped = HOP_BY_HOP_HEADERS | INTERNAL_HEADERS
    if not answer.body:
        dropped -= {"content-length"}  # of what HEAD would have sent
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
    """Return a reply without a server's answer, with the reason as text."""
    reason = outcome.reason if isinstance(outcome, NotRun | Unknown) else ""
    return Reply(
        request_id=request_id,
        status=status if status is not None else status_for_outcome(outcome),
        outcome=outcome,
        headers=(Header(name="Content-Type", value="text/plain; charset=utf-8"),),
        body=f"{reason}\n".encode(),
    )


def cap_retry_after(outcome: Outcome, *, remaining_s: float) -> Outcome:
    """Return the outcome with a retry hint that callers can still follow."""
    latest_s = max(0.0, remaining_s * RETRY_AFTER_MAX_SHARE)
    match outcome:
        case NotRun(retry_after_s=float() as hint_s) if hint_s > latest_s:
            return evolve(outcome, retry_after_s=latest_s)
        case _:
            return outcome


def status_for_outcome(outcome: Outcome) -> int:
    """Return the HTTP status for an outcome without an answer."""
    match outcome:
        case NotRun():
            return STATUS_UNAVAILABLE
        case Unknown() | Ran():
            return STATUS_GATEWAY_TIMEOUT


def make_result_reply(
    request_id: str, result: BackendResult, outcome: Outcome
) -> Reply:
    """Return the reply for the last attempt's result."""
    match result:
        case Answered() as answer:
            return make_answer_reply(request_id, answer)
        case _:
            return make_outcome_reply(request_id, outcome)
