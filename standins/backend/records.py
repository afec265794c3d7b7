"""Define the settings, state and outcomes of a backend server's stand-in."""

from attrs import frozen
from immutables import Map

__all__ = [
    "Abandoned",
    "Admission",
    "AnswerAfterDelay",
    "AnswerError",
    "AnswerForeign",
    "AnswerMode",
    "AnswerNever",
    "AnswerNormally",
    "AnswerTruncated",
    "BackendSettings",
    "BackendState",
    "Completed",
    "ErrorAnswers",
    "Failed",
    "FaultMode",
    "Flapping",
    "LateAnswers",
    "Load",
    "Mismatched",
    "MismatchedAnswers",
    "NoFault",
    "Outcome",
    "Queued",
    "RefusedWork",
    "RunPlan",
    "RunRecord",
    "Shed",
    "SlowWork",
    "StalledWork",
    "Started",
    "Truncated",
    "TruncatedAnswers",
    "WorkRequest",
]


@frozen(kw_only=True)
class BackendSettings:
    """Configure one server.

    `queue` and `connections` are maxima. During the first `cold_start_s` seconds,
    work takes longer.
    """

    service: str
    server: str = ""
    slots: int = 3
    work_s: float = 0.02
    queue: int = 3
    connections: int = 330
    cold_start_s: float = 0.0


@frozen(kw_only=True)
class NoFault:
    """Answer normally."""


@frozen(kw_only=True)
class StalledWork:
    """Begin work but never answer it."""


@frozen(kw_only=True)
class ErrorAnswers:
    """Answer a fraction of the work requests, `share`, with an error."""

    share: float


@frozen(kw_only=True)
class SlowWork:
    """Multiply the time that work takes."""

    factor: float


@frozen(kw_only=True)
class Flapping:
    """Alternate between stalled and normal work, one period each."""

    period_s: float


@frozen(kw_only=True)
class LateAnswers:
    """Finish work in the normal time, but delay the answer."""

    delay_s: float


@frozen(kw_only=True)
class TruncatedAnswers:
    """Send only half of each body, then close the connection."""


@frozen(kw_only=True)
class MismatchedAnswers:
    """Answer with the response to another request."""


@frozen(kw_only=True)
class RefusedWork:
    """Close the connection of each work request without running it."""


FaultMode = (
    NoFault
    | StalledWork
    | ErrorAnswers
    | SlowWork
    | Flapping
    | LateAnswers
    | TruncatedAnswers
    | MismatchedAnswers
    | RefusedWork
)


@frozen(kw_only=True)
class WorkRequest:
    """Describe a request for work.

    `searched_texts` are the parts of the request that are searched for secrets.
    """

    request_id: str
    idempotency_key: str
    method: str
    path: str
    organisation: str
    body_sha256: str
    searched_texts: tuple[str, ...] = ()
    timeout_s: float | None = None


@frozen(kw_only=True)
class RunRecord:
    """Record a request that began to run.

    `key_seen` tells whether one of the secrets was found in the request.
    """

    request_id: str
    idempotency_key: str
    method: str
    path: str
    organisation: str
    body_sha256: str
    finished: bool
    key_seen: bool


@frozen(kw_only=True)
class Started:
    """Report that the ticket has a slot."""

    ticket: int


@frozen(kw_only=True)
class Queued:
    """Report that the ticket waits for a slot."""

    ticket: int


@frozen(kw_only=True)
class Shed:
    """Report that the request was refused and did not run."""


Admission = Started | Queued | Shed


@frozen(kw_only=True)
class AnswerNormally:
    """Answer once the work is done."""


@frozen(kw_only=True)
class AnswerError:
    """Answer with an error once the work is done."""


@frozen(kw_only=True)
class AnswerAfterDelay:
    """Answer with a delay after the work is done."""

    delay_s: float


@frozen(kw_only=True)
class AnswerNever:
    """Neither finish the work nor answer."""


@frozen(kw_only=True)
class AnswerTruncated:
    """Send half of the body once the work is done."""


@frozen(kw_only=True)
class AnswerForeign:
    """Send the response to another request once the work is done."""


AnswerMode = (
    AnswerNormally
    | AnswerError
    | AnswerAfterDelay
    | AnswerNever
    | AnswerTruncated
    | AnswerForeign
)


@frozen(kw_only=True)
class RunPlan:
    """Specify how long a run occupies its slot and how it is answered."""

    run: int
    duration_s: float
    answer_mode: AnswerMode


@frozen(kw_only=True)
class Completed:
    """Report that the request is to be answered normally."""


@frozen(kw_only=True)
class Failed:
    """Report that the request is to be answered with an error."""


@frozen(kw_only=True)
class Truncated:
    """Report that only half of the body is to be sent."""


@frozen(kw_only=True)
class Mismatched:
    """Report that the response to another request is to be sent."""


@frozen(kw_only=True)
class Abandoned:
    """Report that the connection is to be closed without an answer."""


Outcome = Completed | Failed | Truncated | Mismatched | Abandoned | Shed


@frozen(kw_only=True)
class Load:
    """Describe the load that a server reports."""

    busy: int
    slots: int
    draining: bool


@frozen(kw_only=True)
class BackendState:
    """Describe the whole state of the stand-in.

    `running` and `queued` contain tickets: the numbers of requests that occupy a
    slot or wait for one, the latter in order of arrival.
    """

    settings: BackendSettings
    started_s: float
    running: frozenset[int] = frozenset()
    queued: tuple[int, ...] = ()
    next_ticket: int = 0
    connections: int = 0
    draining: bool = False
    mode: FaultMode = NoFault()
    mode_set_at_s: float = 0.0
    runs: Map[int, RunRecord] = Map()
    next_run_number: int = 0
    secret_encodings: frozenset[str] = frozenset()
