"""Hold evidence about backend servers and the states decided from it."""

from attrs import frozen
from immutables import Map

from .identity import ServerId

__all__ = [
    "Evidence",
    "ServerAvoided",
    "ServerEjected",
    "ServerEvidence",
    "ServerHealthy",
    "ServerOnTrial",
    "ServerState",
    "ServerStates",
]


@frozen(kw_only=True)
class ServerEvidence:
    """Count the outcomes of real work on one server since this process started.

    `started_s` holds the monotonic start times of attempts under way.
    """

    succeeded: int = 0
    failed: int = 0
    duration_sum_s: float = 0.0
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


ServerState = ServerHealthy | ServerAvoided | ServerEjected | ServerOnTrial


@frozen(kw_only=True)
class ServerStates:
    """Hold the state of every server that is not simply healthy."""

    by_server: Map[ServerId, ServerState] = Map()
