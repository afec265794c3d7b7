"""Encode attempts for the platform's backend servers and decode their answers."""

from ..frontends.backends import (
    ServerAnswer,
    find_header,
    parse_count,
    parse_number,
)
from ..records import (
    AnswerBroken,
    Answered,
    BackendRequest,
    BackendResult,
    Header,
    ReportedLoad,
    ServerId,
    ServerNotices,
    ShedByServer,
)
from .headers import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    INSTANCE_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    SERVER_SEAL,
    TENANT,
)

__all__ = ["PlatformEncoding"]

MS_PER_S = 1000.0
STATUS_BAD_REQUEST = 400
STATUS_MISDIRECTED = 421
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
# Statuses from which a caller concludes that its request did not run.
NOT_RUN_STATUSES = frozenset(
    {408, STATUS_MISDIRECTED, STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE}
)
# Statuses with which servers state that they did not run a request.
MARKED_STATUSES = frozenset(
    {
        STATUS_BAD_REQUEST,
        STATUS_MISDIRECTED,
        STATUS_TOO_MANY_REQUESTS,
        STATUS_UNAVAILABLE,
    }
)


class PlatformEncoding:
    """Encode attempts and decode answers in the platform's protocol."""

    id_header = REQUEST_ID
    single_headers = (REQUEST_ID, NOT_EXECUTED, INSTANCE_ID, SERVER_SEAL)

    def wire_id(self, attempt: BackendRequest) -> str:
        """Return the caller's request id, which servers receive unchanged."""
        return attempt.caller_request_id

    def encode_headers(
        self, server: ServerId, attempt: BackendRequest, *, remaining_s: float
    ) -> tuple[Header, ...]:
        """Return the caller's headers and those that the host sets."""
        fields = list(attempt.headers)
        fields.append(Header(name=REQUEST_ID, value=attempt.caller_request_id))
        fields.append(Header(name=DEADLINE_MS, value=str(int(remaining_s * MS_PER_S))))
        if server.instance:
            fields.append(Header(name=EXPECT_INSTANCE, value=server.instance))
        if attempt.organisation is not None:
            fields.append(Header(name=TENANT, value=attempt.organisation))
        return tuple(fields)

    def decode_answer(
        self, answer: ServerAnswer, attempt: BackendRequest
    ) -> BackendResult:
        """Return the answer, that the server shed the request, or why it is invalid."""
        load = _parse_load(find_header(answer.headers, SERVER_LOAD))
        notices = _read_notices(answer)
        if _is_misdirected(answer):
            return ShedByServer(retry_after_s=None, load=None, is_replaced=True)
        if find_header(answer.headers, NOT_EXECUTED) is not None:
            if answer.status not in MARKED_STATUSES:
                return AnswerBroken(
                    reason=f"status {answer.status} with the mark that nothing ran",
                    notices=notices,
                )
            retry_after_s = parse_number(find_header(answer.headers, RETRY_AFTER))
            return ShedByServer(retry_after_s=retry_after_s, load=load, notices=notices)
        if find_header(answer.headers, "Content-Encoding") is not None:
            return AnswerBroken(reason="the answer has a content encoding")
        is_sealed = find_header(answer.headers, SERVER_SEAL) is not None
        if answer.status < 400 and not is_sealed:
            return AnswerBroken(reason="a success without the server's seal")
        if answer.status in NOT_RUN_STATUSES:
            # Without the header NOT_EXECUTED, the request may have run, but a caller
            # that got this status would conclude that it did not.
            return AnswerBroken(
                reason=f"status {answer.status} without proof that nothing ran",
                notices=notices,
            )
        return Answered(
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            load=load,
            notices=notices,
        )


def _read_notices(answer: ServerAnswer) -> ServerNotices:
    # An answer without a readable limit ends the one that was named before.
    leaving = find_header(answer.headers, SERVER_LEAVING)
    is_unavailable = answer.status == STATUS_UNAVAILABLE
    return ServerNotices(
        limit_per_s=parse_number(find_header(answer.headers, SERVER_LIMIT)),
        is_leaving=leaving is not None and leaving.strip() == "1",
        pause_s=parse_number(find_header(answer.headers, RETRY_AFTER))
        if is_unavailable
        else None,
    )


def _is_misdirected(answer: ServerAnswer) -> bool:
    return (
        answer.status == STATUS_MISDIRECTED
        and find_header(answer.headers, INSTANCE_ID) is not None
    )


def _parse_load(text: str | None) -> ReportedLoad | None:
    """Return the load in `RUNNING,WAITING,SLOTS`, or None if it is malformed."""
    if text is None:
        return None
    try:
        running, waiting, slots = (parse_count(part) for part in text.split(","))
    except ValueError:
        return None
    return ReportedLoad(busy=running + waiting, slots=slots)
