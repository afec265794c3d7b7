"""Hold what passes between a host and a backend server."""

from math import inf

from attrs import field, frozen
from immutables import Map

from .identity import OrganisationName, ServerId, ServiceName
from .requests import Header

__all__ = [
    "Answered",
    "AnswerBroken",
    "AnswerForeign",
    "AnswerLate",
    "AttemptCancelled",
    "BackendRequest",
    "BackendResult",
    "ConnectFailed",
    "DrainReport",
    "ReportedLoad",
    "SendBroken",
    "ServerLoad",
    "ServerLoads",
    "ServiceLoad",
    "ShedByServer",
]


@frozen(kw_only=True)
class BackendRequest:
    """Hold one attempt, free of keys, for one backend server."""

    request_id: str
    caller_request_id: str = ""
    attempt: int
    method: str
    path: str
    organisation: OrganisationName | None
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)
    timeout_s: float


@frozen(kw_only=True)
class ReportedLoad:
    """Hold the load that a server states with an answer."""

    busy: int
    slots: int
    draining: bool = False


@frozen(kw_only=True)
class Answered:
    """Carry a whole answer to this very request."""

    status: int
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)
    load: ReportedLoad | None = None


@frozen(kw_only=True)
class ShedByServer:
    """State that the server refused the request and, by contract, did not run it.

    `is_replaced` tells that another server has the address.
    """

    retry_after_s: float | None
    load: ReportedLoad | None = None
    is_replaced: bool = False


@frozen(kw_only=True)
class ConnectFailed:
    """State that no byte of the request reached the server."""

    reason: str


@frozen(kw_only=True)
class SendBroken:
    """State that the connection failed after bytes of the request left."""

    reason: str


@frozen(kw_only=True)
class AnswerLate:
    """State that no whole answer came in time."""

    waited_s: float


@frozen(kw_only=True)
class AnswerBroken:
    """State that the answer was cut short or malformed."""

    reason: str


@frozen(kw_only=True)
class AnswerForeign:
    """State that the answer belonged to another request."""

    expected_id: str
    received_id: str


@frozen(kw_only=True)
class AttemptCancelled:
    """State that the host broke the attempt off because its caller left."""

    waited_s: float


BackendResult = (
    Answered
    | ShedByServer
    | ConnectFailed
    | SendBroken
    | AnswerLate
    | AnswerBroken
    | AnswerForeign
    | AttemptCancelled
)


@frozen(kw_only=True)
class DrainReport:
    """Hold when a server last reported that it drains, and how often since."""

    reported_at_s: float
    renewals: int = 0


@frozen(kw_only=True)
class ServerLoad:
    """Hold this host's view of one server's use of its slots.

    `others_busy` counts the busy slots in the last report that were not this host's;
    `failures` counts failed attempts since the last answer; the host avoids the
    server until `avoid_until_s`. Such times are readings of the monotonic clock.
    """

    in_flight: int = 0
    reported: ReportedLoad | None = None
    reported_at_s: float = 0.0
    others_busy: int = 0
    backoff_until_s: float = 0.0
    ramp_from_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0
    drain: DrainReport | None = None


@frozen(kw_only=True)
class ServiceLoad:
    """Hold this host's view of one service.

    `mean_service_s` is the mean seconds of an answered attempt, `busy` the mean busy
    slots that answers report; `limit` bounds this host's attempts in flight.
    """

    in_flight: int = 0
    mean_service_s: float = 0.0
    busy: float = 0.0
    limit: float = inf


@frozen(kw_only=True)
class ServerLoads:
    """Hold the load of every server and service that this host has used."""

    by_server: Map[ServerId, ServerLoad] = Map()
    by_service: Map[ServiceName, ServiceLoad] = Map()
