"""Define the settings, state and outcomes of a backend server's stand-in."""

from attrs import frozen
from immutables import Map

__all__ = [
    "Abandoned",
    "Admission",
    "AnswerAfterDelay",
    "AnswerError",
    "AnswerForeign",
    "AnswerNever",
    "AnswerTruncated",
    "AnswerNormally",
    "BackendSettings",
    "BackendState",
    "Completed",
    "AnswerMode",
    "ErrorAnswers",
    "Failed",
    "Flapping",
    "Mismatched",
    "LateAnswers",
    "Load",
    "FaultMode",
    "NoFault",
    "Outcome",
    "RunPlan",
    "Queued",
    "RefusedWork",
    "RunRecord",
    "Shed",
    "SlowWork",
    "StalledWork",
    "Started",
    "TruncatedAnswers",
    "Truncated",
    "WorkRequest",
    "MismatchedAnswers",
]


@frozen(kw_only=True)
class BackendSettings:
    """Size one server; times are in seconds."""

    service: str
    server: str = ""
    slots: int = 3
    work_s: float = 0.02
    queue: int = 3
    connections: int = 330
    cold_start_s: float = 0.0


@frozen(kw_only=True)
class NoFault:
    """Answer as asked."""


@frozen(kw_only=True)
class StalledWork:
    """Begin work and never answer it."""


@frozen(kw_only=True)
class ErrorAnswers:
    """Answer a share of the work with an error."""

    share: float


@frozen(kw_only=True)
class SlowWork:
    """Multiply the time that work takes."""

    factor: float


@frozen(kw_only=True)
class Flapping:
    """Alternate between stalling and working, a period each."""

    period_s: float


@frozen(kw_only=True)
class LateAnswers:
    """Finish work and answer after a delay."""

    delay_s: float


@frozen(kw_only=True)
class TruncatedAnswers:
    """Send half of each answer."""


@frozen(kw_only=True)
class MismatchedAnswers:
    """Send the answer to another request."""


@frozen(kw_only=True)
class RefusedWork:
    """Close the connection of each work request before it runs."""


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
    """Describe a request for work; texts are where a secret may show."""

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
    """Log one request that began to run."""

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
    """Grant a slot to a ticket."""

    ticket: int


@frozen(kw_only=True)
class Queued:
    """Let a ticket wait for a slot."""

    ticket: int


@frozen(kw_only=True)
class Shed:
    """Refuse a request that did not run."""


Admission = Started | Queued | Shed


@frozen(kw_only=True)
class AnswerNormally:
    """Answer once the work is done."""


@frozen(kw_only=True)
class AnswerError:
    """Answer with an error once the work is done."""


@frozen(kw_only=True)
class AnswerAfterDelay:
    """Answer a delay after the work is done."""

    delay_s: float


@frozen(kw_only=True)
class AnswerNever:
    """Do no work and send no answer."""


@frozen(kw_only=True)
class AnswerTruncated:
    """Send half of the answer once the work is done."""


@frozen(kw_only=True)
class AnswerForeign:
    """Send another request's answer once the work is done."""


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
    """Say how long a run holds its slot and how it ends."""

    run: int
    duration_s: float
    answer_mode: AnswerMode


@frozen(kw_only=True)
class Completed:
    """Answer the request."""


@frozen(kw_only=True)
class Failed:
    """Answer with an error."""


@frozen(kw_only=True)
class Truncated:
    """Answer with half of the body."""


@frozen(kw_only=True)
class Mismatched:
    """Answer another request."""


@frozen(kw_only=True)
class Abandoned:
    """Close the connection without an answer."""


Outcome = Completed | Failed | Truncated | Mismatched | Abandoned | Shed


@frozen(kw_only=True)
class Load:
    """Report the slots in use."""

    busy: int
    slots: int
    draining: bool


@frozen(kw_only=True)
class BackendState:
    """Hold everything that the stand-in knows."""

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
