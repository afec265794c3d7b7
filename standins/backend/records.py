"""Define the settings, state and outcomes of a backend server's stand-in."""

from attrs import frozen
from immutables import Map

__all__ = [
    "Abandoned",
    "Admission",
    "AnswerAfter",
    "AnswerError",
    "AnswerForeign",
    "AnswerNever",
    "AnswerTruncated",
    "AnswerWell",
    "BackendSettings",
    "BackendState",
    "Completed",
    "Ending",
    "Errors",
    "Failed",
    "Flap",
    "Foreign",
    "Late",
    "Load",
    "Mode",
    "Ok",
    "Outcome",
    "Plan",
    "Queued",
    "Refuse",
    "Run",
    "Shed",
    "SlowWork",
    "Stall",
    "Started",
    "Truncate",
    "Truncated",
    "Work",
    "WrongAnswer",
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
class Ok:
    """Answer as asked."""


@frozen(kw_only=True)
class Stall:
    """Begin work and never answer it."""


@frozen(kw_only=True)
class Errors:
    """Answer a share of the work with an error."""

    share: float


@frozen(kw_only=True)
class SlowWork:
    """Multiply the time that work takes."""

    factor: float


@frozen(kw_only=True)
class Flap:
    """Alternate between stalling and working, a period each."""

    period_s: float


@frozen(kw_only=True)
class Late:
    """Finish work and answer after a delay."""

    delay_s: float


@frozen(kw_only=True)
class Truncate:
    """Send half of each answer."""


@frozen(kw_only=True)
class WrongAnswer:
    """Send the answer to another request."""


@frozen(kw_only=True)
class Refuse:
    """Close the connection of each work request before it runs."""


Mode = Ok | Stall | Errors | SlowWork | Flap | Late | Truncate | WrongAnswer | Refuse


@frozen(kw_only=True)
class Work:
    """Describe a request for work; texts are where a secret may show."""

    request_id: str
    idempotency_key: str
    method: str
    path: str
    organisation: str
    body_sha256: str
    texts: tuple[str, ...] = ()
    timeout_s: float | None = None


@frozen(kw_only=True)
class Run:
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
class AnswerWell:
    """Answer once the work is done."""


@frozen(kw_only=True)
class AnswerError:
    """Answer with an error once the work is done."""


@frozen(kw_only=True)
class AnswerAfter:
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


Ending = (
    AnswerWell
    | AnswerError
    | AnswerAfter
    | AnswerNever
    | AnswerTruncated
    | AnswerForeign
)


@frozen(kw_only=True)
class Plan:
    """Say how long a run holds its slot and how it ends."""

    run: int
    hold_s: float
    ending: Ending


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
class Foreign:
    """Answer another request."""


@frozen(kw_only=True)
class Abandoned:
    """Close the connection without an answer."""


Outcome = Completed | Failed | Truncated | Foreign | Abandoned | Shed


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
    waiting: tuple[int, ...] = ()
    next_ticket: int = 0
    connections: int = 0
    draining: bool = False
    mode: Mode = Ok()
    mode_since_s: float = 0.0
    runs: Map[int, Run] = Map()
    next_run: int = 0
    secret_forms: frozenset[str] = frozenset()
