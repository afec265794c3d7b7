"""Hold evidence about backend servers and the states decided from it."""

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
    """Count durations by bucket; `counts` starts at bucket `first`."""

    first: int = 0
    counts: tuple[int, ...] = ()


@frozen(kw_only=True)
class OutcomeCounts:
    """Count how attempts on one server ended since the process started.

    `answered` holds durations of good answers, `late` the waits in vain.
    """

    answered: Histogram = Histogram()
    late: Histogram = Histogram()
    errors: int = 0
    broken: int = 0
    unreachable: int = 0


@frozen(kw_only=True)
class ServerEvidence:
    """Hold the outcomes of real work on one server.

    `started_s` holds the monotonic start times of attempts under way.
    """

    counts: OutcomeCounts = OutcomeCounts()
    started_s: Map[str, float] = Map()


@frozen(kw_only=True)
class Evidence:
    """Hold this host's evidence of every server that it has used."""

    by_server: Map[ServerId, ServerEvidence] = Map()


@frozen(kw_only=True)
class ServerHealthy:
    """Let a server take its full part of the work."""


@frozen(kw_only=True)
class ServerAvoided:
    """Prefer other servers on this host alone, for a fault of the path to it."""

    reason: str


@frozen(kw_only=True)
class ServerEjected:
    """Send a server nothing, on every host, until the local time given."""

    reason: str
    until_s: float


@frozen(kw_only=True)
class ServerOnTrial:
    """Send a server a share of its work, idempotent requests only."""

    share: float


@frozen(kw_only=True)
class ServerSuspected:
    """Hold the probability that a server failed grayly at a local time.

    `failed_s` is the local time of the last failure.
    """

    risk: float
    at_s: float
    failed_s: float = -inf


ServerState = (
    ServerHealthy | ServerAvoided | ServerEjected | ServerOnTrial | ServerSuspected
)


@frozen(kw_only=True)
class ServerStates:
    """Hold the state of every server that is not simply healthy."""

    by_server: Map[ServerId, ServerState] = Map()
