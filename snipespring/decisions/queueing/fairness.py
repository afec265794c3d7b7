"""Queue requests by start-time fair queuing with equal weights."""

from collections import Counter

from attrs import evolve, frozen

from ...records import (
    OrganisationName,
    QueuedRequest,
    RequestQueue,
    RequestQueues,
    ServiceName,
    SlotRequest,
)

__all__ = [
    "Joined",
    "QueueRefused",
    "count_waiters",
    "join_queue",
    "leave_queue",
    "queue_of",
    "serve_waiter",
]

MIN_RETRY_AFTER_S = 0.05
EMPTY = RequestQueue()


@frozen(kw_only=True)
class Joined:
    """Hold the queues with one more waiter and who had to leave for it."""

    queues: RequestQueues
    waiter: QueuedRequest
    evicted: QueuedRequest | None = None


@frozen(kw_only=True)
class QueueRefused:
    """State why the request may not wait."""

    reason: str
    retry_after_s: float


def queue_of(queues: RequestQueues, service: ServiceName) -> RequestQueue:
    """Return the queue of a service."""
    return queues.by_service.get(service, EMPTY)


def count_waiters(queues: RequestQueues) -> int:
    """Return how many requests wait on this host."""
    return sum(len(queue.queued) for queue in queues.by_service.values())


def join_queue(
    queues: RequestQueues,
    wanted: SlotRequest,
    *,
    bound: int,
    in_flight: int,
    service_s: float,
    now_s: float,
) -> Joined | QueueRefused:
    """Add a waiter; `in_flight` attempts of `service_s` seconds go before it."""
    queue = queue_of(queues, wanted.service)
    tag = _next_tag(queue, wanted.organisation) if wanted.tag is None else wanted.tag
    waiter = QueuedRequest(ticket=queues.next_ticket, tag=tag, slot_request=wanted)
    ahead = sum(other.tag <= tag for other in queue.queued)
    wait_s = (ahead + 1) * service_s / max(1, in_flight)
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
    if now_s + wait_s + service_s > wanted.deadline_at_s:
        return QueueRefused(
            reason=f"a slot comes free in {wait_s:.3f} s, too late for the deadline",
            retry_after_s=retry_after_s,
        )
    evicted = None
    if count_waiters(queues) >= bound:
        evicted = _find_evicted(queues, wanted.organisation)
        if evicted is None:
            return QueueRefused(
                reason=f"{bound} requests wait, most of them of this organisation",
                retry_after_s=retry_after_s,
            )
        queues = leave_queue(queues, evicted.ticket)
    queues = _insert(queues, waiter)
    return Joined(queues=queues, waiter=waiter, evicted=evicted)


def leave_queue(queues: RequestQueues, ticket: int) -> RequestQueues:
    """Return the queues without a waiter."""
    for service, queue in queues.by_service.items():
        left = tuple(one for one in queue.queued if one.ticket != ticket)
        if not left:
            queues = _replace(queues, service, EMPTY)
        elif len(left) < len(queue.queued):
            queues = _replace(queues, service, evolve(queue, queued=left))
    return queues


def serve_waiter(queues: RequestQueues, waiter: QueuedRequest) -> RequestQueues:
    """Return the queues after a waiter got a slot; virtual time moves to it."""
    queues = leave_queue(queues, waiter.ticket)
    service = waiter.slot_request.service
    queue = queue_of(queues, service)
    if not queue.queued:
        return queues
    queue = evolve(queue, virtual_time=max(queue.virtual_time, waiter.tag))
    return _replace(queues, service, queue)


def _next_tag(queue: RequestQueue, organisation: OrganisationName | None) -> float:
    last = queue.last_tags.get(organisation)
    return queue.virtual_time if last is None else max(queue.virtual_time, last + 1.0)


def _insert(queues: RequestQueues, waiter: QueuedRequest) -> RequestQueues:
    wanted = waiter.slot_request
    queue = queue_of(queues, wanted.service)
    waiters = sorted((*queue.queued, waiter), key=_place_of)
    last = max(waiter.tag, queue.last_tags.get(wanted.organisation, waiter.tag))
    last_tags = queue.last_tags.set(wanted.organisation, last)
    queue = evolve(queue, queued=tuple(waiters), last_tags=last_tags)
    queues = evolve(queues, next_ticket=queues.next_ticket + 1)
    return _replace(queues, wanted.service, queue)


def _place_of(waiter: QueuedRequest) -> tuple[float, int]:
    return (waiter.tag, waiter.ticket)


def _find_evicted(
    queues: RequestQueues, organisation: OrganisationName | None
) -> QueuedRequest | None:
    """Return the last waiter of the organisation that waits most, if not this one."""
    waiters = [one for queue in queues.by_service.values() for one in queue.queued]
    counts = Counter(one.slot_request.organisation for one in waiters)
    if not counts or counts[organisation] + 1 >= max(counts.values()):
        return None
    most = max(counts.values())
    last = [one for one in waiters if counts[one.slot_request.organisation] == most]
    return max(last, key=_place_of)


def _replace(
    queues: RequestQueues, service: ServiceName, queue: RequestQueue
) -> RequestQueues:
    return evolve(queues, by_service=queues.by_service.set(service, queue))
