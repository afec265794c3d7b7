"""Define the requests in progress on this host and those that wait for a slot."""

from math import inf

from attrs import frozen
from immutables import Map

from .identity import OrganisationName, ServiceName
from .routing import Placement

__all__ = [
    "QueuedRequest",
    "RequestKind",
    "RequestQueue",
    "RequestQueues",
    "ServiceConcurrency",
    "SlotRequest",
]


@frozen(kw_only=True)
class SlotRequest:
    """Ask for a slot of a service; `tag` restores the position of an earlier wait.

    Requests with a lower `priority` are more urgent. An answer after `objective_at_s`
    has less value. `route` names the route of the request.
    """

    service: ServiceName
    organisation: OrganisationName | None
    placement: Placement
    deadline_at_s: float
    priority: int = 0
    tag: float | None = None
    route: str = ""
    objective_at_s: float = inf


@frozen(kw_only=True)
class QueuedRequest:
    """Represent a waiting request; the one with the lowest tag is served first.

    The tag is a virtual time: it advances with the requests served, not with a clock.
    An attempt that starts after `latest_start_s` will probably miss the objective.
    `work_turns` rises with the work that the request needs, from 0 to 1.
    """

    ticket: int
    tag: float
    slot_request: SlotRequest
    latest_start_s: float = inf
    work_turns: float = 0.0


@frozen(kw_only=True)
class RequestKind:
    """Tell requests of one service apart by priority and route."""

    priority: int
    route: str


@frozen(kw_only=True)
class RequestQueue:
    """List the waiting requests of one service in the order of service.

    A kind whose credit has reached 1 got less than its least share of the slots.
    """

    queued: tuple[QueuedRequest, ...] = ()
    virtual_time: float = 0.0
    last_tags: Map[OrganisationName | None, float] = Map()
    credits: Map[RequestKind, float] = Map()


@frozen(kw_only=True)
class RequestQueues:
    """Map each service to its queue."""

    next_ticket: int = 0
    by_service: Map[ServiceName, RequestQueue] = Map()


@frozen(kw_only=True)
class ServiceConcurrency:
    """Count the requests of each service that this host handles now."""

    by_service: Map[ServiceName, int] = Map()
