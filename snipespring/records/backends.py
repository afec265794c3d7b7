"""Define requests to backend servers, their results and the load of servers."""

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
    "AnswerOrigin",
    "AttemptCancelled",
    "BackendRequest",
    "BackendResult",
    "ConnectFailed",
    "DrainReport",
    "ReportedLoad",
    "SendBroken",
    "ServerLimit",
    "ServerLoad",
    "ServerLoads",
    "ServerNotices",
    "ServerWarmup",
    "ServiceLoad",
    "ShedByServer",
]


@frozen(kw_only=True)
class BackendRequest:
    """Represent one attempt as sent to a backend server, without the caller's keys."""

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
    """Represent the load that a server reports with an answer.

    `busy` of its `slots` are occupied by requests; `draining` asks for no new ones.
    """

    busy: int
    slots: int
    draining: bool = False


@frozen(kw_only=True)
class ServerNotices:
    """Represent what a server asks of hosts with an answer.

    The server accepts `limit_per_s` requests a second from all hosts together. A server
    that `is_leaving` wants no more requests, and one that names `pause_s` wants none
    from this host for so many seconds.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None


@frozen(kw_only=True)
class AnswerOrigin:
    """Describe how an answer was read from its connection.

    The connection had carried `earlier_answers` to other attempts. `skipped_answers`
    stood before this one and belonged to other requests. `has_id` is true if the answer
    echoes the id of its request.
    """

    status: int
    has_id: bool
    earlier_answers: int = 0
    skipped_answers: int = 0


@frozen(kw_only=True)
class Answered:
    """Represent a complete answer to this request."""

    status: int
    headers: tuple[Header, ...]
    body: bytes = field(repr=False)
    load: ReportedLoad | None = None
    notices: ServerNotices = ServerNotices()
    origin: AnswerOrigin | None = None


@frozen(kw_only=True)
class ShedByServer:
    """Report that the server refused the request and guarantees not to have run it.

    `is_replaced` tells that another server now has the address of the refusing one.
    """

    retry_after_s: float | None
    load: ReportedLoad | None = None
    is_replaced: bool = False
    notices: ServerNotices = ServerNotices()
    origin: AnswerOrigin | None = None


@frozen(kw_only=True)
class ConnectFailed:
    """Report that no byte of the request reached the server."""

    reason: str


@frozen(kw_only=True)
class SendBroken:
    """Report that the connection failed after part of the request was sent."""

    reason: str


@frozen(kw_only=True)
class AnswerLate:
    """Report that no complete answer arrived in time."""

    waited_s: float


@frozen(kw_only=True)
class AnswerBroken:
    """Report that the answer was truncated or malformed."""

    reason: str
    notices: ServerNotices | None = None


@frozen(kw_only=True)
class AnswerForeign:
    """Report that the answer belonged to another request."""

    expected_id: str
    received_id: str


@frozen(kw_only=True)
class AttemptCancelled:
    """Report that the host cancelled the attempt because its caller disconnected."""

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
    """Record when a server last reported that it drains.

    `renewals` counts the later attempts that did not show the end of the drain.
    """

    reported_at_s: float
    renewals: int = 0


@frozen(kw_only=True)
class ServerLimit:
    """Record a server's rate for all hosts, and when this host may send again.

    `next_at_s` is a monotonic time.
    """

    rate_per_s: float
    next_at_s: float


@frozen(kw_only=True)
class ServerWarmup:
    """Record this host's turns for single requests to a cold server.

    A turn begins at `next_at_s` and every `interval_s` seconds after it. The server is
    warm at `warm_at_s`. Times are monotonic.
    """

    warm_at_s: float
    interval_s: float
    next_at_s: float


@frozen(kw_only=True)
class ServerLoad:
    """Describe one server's use of its slots as this host knows it.

    `others_busy` is the number of slots in the last report that requests of other
    hosts occupied. After a refusal the host sends the server no request until
    `backoff_until_s`. After a drain that ended at `ramp_from_s` the server gets a
    rising share of requests.
    `failures` is the number of failed attempts since the last answer; the host avoids
    the server until `avoid_until_s`. A server that `is_leaving` gets no more requests,
    and one that asked for a pause none until `pause_until_s`; `noticed_s` is when it
    last asked for either. Times are monotonic, in seconds.
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
    limit: ServerLimit | None = None
    warmup: ServerWarmup | None = None
    is_leaving: bool = False
    pause_until_s: float = 0.0
    noticed_s: float = 0.0


@frozen(kw_only=True)
class ServiceLoad:
    """Describe one service's load as this host knows it.

    `mean_service_s` is the mean duration of answered attempts in seconds and `busy`
    the mean number of busy slots that answers report. `limit` bounds this host's
    attempts in flight.
    """

    in_flight: int = 0
    mean_service_s: float = 0.0
    busy: float = 0.0
    limit: float = inf


@frozen(kw_only=True)
class ServerLoads:
    """Map every server and service that this host has used to its load."""

    by_server: Map[ServerId, ServerLoad] = Map()
    by_service: Map[ServiceName, ServiceLoad] = Map()
