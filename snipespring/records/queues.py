"""Hold the requests that wait on this host for a slot."""

from attrs import frozen
from immutables import Map

from .identity import OrganisationName, ServiceName
from .routing import Placement

__all__ = ["RequestQueue", "RequestQueues", "SlotRequest", "QueuedRequest"]


@frozen(kw_only=True)
class SlotRequest:
    """Ask for a slot of a service; `tag` keeps the place of an earlier wait."""

    service: ServiceName
    organisation: OrganisationName | None
    placement: Placement
    deadline_at_s: float
    tag: float | None = None


@frozen(kw_only=True)
class QueuedRequest:
    """Hold one waiting request; the lowest tag of virtual time goes first."""

    ticket: int
    tag: float
    slot_request: SlotRequest


@frozen(kw_only=True)
class RequestQueue:
    """Hold the waiters of one service in the order in which they go."""

    queued: tuple[QueuedRequest, ...] = ()
    virtual_time: float = 0.0
    last_tags: Map[OrganisationName | None, float] = Map()


@frozen(kw_only=True)
class RequestQueues:
    """Hold the queue of each service."""

    next_ticket: int = 0
    by_service: Map[ServiceName, RequestQueue] = Map()
