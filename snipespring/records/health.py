"""Define the evidence about backend servers and the states decided from it."""

from math import inf

from attrs import frozen
from immutables import Map

from .identity import ServerId

__all__ = [
    "Evidence",
    "Histogram",
    "OutcomeCounts",
    "ServerAvoided",
    "ServerEjected",
    "ServerEvidence",
    "ServerHealthy",
    "ServerOnTrial",
    "ServerState",
    "ServerStates",
    "ServerSuspected",
]


@frozen(kw_only=True)
class Histogram:
    """Count durations by bucket; `counts` starts at bucket `first`.

    Buckets are logarithmic; bucket 0 contains the shortest durations.
    """

    first: int = 0
    counts: tuple[int, ...] = ()


@frozen(kw_only=True)
class OutcomeCounts:
    """Count the outcomes of attempts on one server since the process started.

    `answered` contains the durations of successful answers, `late` the durations of
    attempts that timed out.
    """

    answered: Histogram = Histogram()
    late: Histogram = Histogram()
    errors: int = 0
    broken: int = 0
    unreachable: int = 0


@frozen(kw_only=True)
class ServerEvidence:
    """Collect the outcomes of attempts on one server.

    `started_s` contains the monotonic start times of attempts under way. `idle_sheds`
    counts the sheds while the server reported free slots.
    """

    counts: OutcomeCounts = OutcomeCounts()
    started_s: Map[str, float] = Map()
    idle_sheds: int = 0


@frozen(kw_only=True)
class Evidence:
    """Collect this host's evidence about every server that it has used."""

    by_server: Map[ServerId, ServerEvidence] = Map()


@frozen(kw_only=True)
class ServerHealthy:
    """Let the server receive its full share of requests."""


@frozen(kw_only=True)
class ServerAvoided:
    """Prefer other servers because this host's path to the server is faulty."""

    reason: str


@frozen(kw_only=True)
class ServerEjected:
    """Stop all hosts from sending requests to the server until a local time."""

    reason: str
    until_s: float


@frozen(kw_only=True)
class ServerOnTrial:
    """Send the server only a share of its requests, idempotent ones only."""

    share: float


@frozen(kw_only=True)
class ServerSuspected:
    """Give the probability at a local time that the server has a gray failure.

    `failed_s` is the local time of the last failed attempt.
    """

    risk: float
    at_s: float
    failed_s: float = -inf


ServerState = (
    ServerHealthy | ServerAvoided | ServerEjected | ServerOnTrial | ServerSuspected
)


@frozen(kw_only=True)
class ServerStates:
    """Map every server that is not healthy to its state."""

    by_server: Map[ServerId, ServerState] = Map()
