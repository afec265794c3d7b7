"""Queue requests by start-time fair queuing with equal weights."""

from collections import Counter

from attrs import evolve, frozen

from ...records import (
    OrganisationName,
    RequestQueue,
    RequestQueues,
    ServiceName,
    SlotRequest,
    Waiter,
)

__all__ = [
    "Enqueued",
    "EnqueueRefused",
    "count_waiters",
    "enqueue",
    "remove_waiter",
    "get_queue",
    "serve_waiter",
]

MIN_RETRY_AFTER_S = 0.05
EMPTY_QUEUE = RequestQueue()


@frozen(kw_only=True)
class Enqueued:
    """Hold the queues with one more waiter and who had to leave for it."""

    queues: RequestQueues
    waiter: Waiter
    evicted: Waiter | None = None


@frozen(kw_only=True)
class EnqueueRefused:
    """State why the request may not wait."""

    reason: str
    retry_after_s: float


def get_queue(queues: RequestQueues, service: ServiceName) -> RequestQueue:
    """Return the queue of a service."""
    return queues.by_service.get(service, EMPTY_QUEUE)


def count_waiters(queues: RequestQueues) -> int:
    """Return how many requests wait on this host."""
    return sum(len(queue.waiters) for queue in queues.by_service.values())


def enqueue(
    queues: RequestQueues,
    request: SlotRequest,
    *,
    max_waiters: int,
    in_flight: int,
    service_s: float,
    now_s: float,
) -> Enqueued | EnqueueRefused:
    """Add a waiter; `in_flight` attempts of `service_s` seconds go before it."""
    queue = get_queue(queues, request.service)
    tag = (
        _next_start_tag(queue, request.organisation)
        if request.tag is None
        else request.tag
    )
    waiter = Waiter(ticket=queues.next_ticket, tag=tag, wanted=request)
    ahead = sum(other.tag <= tag for other in queue.waiters)
    wait_s = (ahead + 1) * service_s / max(1, in_flight)
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
    if now_s + wait_s + service_s > request.deadline_at_s:
        return EnqueueRefused(
            reason=f"a slot comes free in {wait_s:.3f} s, too late for the deadline",
            retry_after_s=retry_after_s,
        )
    evicted = None
    if count_waiters(queues) >= max_waiters:
        evicted = _choose_evicted(queues, request.organisation)
        if evicted is None:
            return EnqueueRefused(
                reason=(
                    f"queue full with {max_waiters} requests, "
                    "most of them of this organisation"
                ),
                retry_after_s=retry_after_s,
            )
        queues = remove_waiter(queues, evicted.ticket)
    queues = _insert(queues, waiter)
    return Enqueued(queues=queues, waiter=waiter, evicted=evicted)


def remove_waiter(queues: RequestQueues, ticket: int) -> RequestQueues:
    """Return the queues without a waiter."""
    for service, queue in queues.by_service.items():
        left = tuple(one for one in queue.waiters if one.ticket != ticket)
        if not left:
            queues = _set_queue(queues, service, EMPTY_QUEUE)
        elif len(left) < len(queue.waiters):
            queues = _set_queue(queues, service, evolve(queue, waiters=left))
    return queues


def serve_waiter(queues: RequestQueues, waiter: Waiter) -> RequestQueues:
    """Return the queues after a waiter got a slot; virtual time moves to it."""
    queues = remove_waiter(queues, waiter.ticket)
    service = waiter.wanted.service
    queue = get_queue(queues, service)
    if not queue.waiters:
        return queues
    queue = evolve(queue, virtual=max(queue.virtual, waiter.tag))
    return _set_queue(queues, service, queue)


def _next_start_tag(
    queue: RequestQueue, organisation: OrganisationName | None
) -> float:
    last = queue.last_tags.get(organisation)
    return queue.virtual if last is None else max(queue.virtual, last + 1.0)


def _insert(queues: RequestQueues, waiter: Waiter) -> RequestQueues:
    wanted = waiter.wanted
    queue = get_queue(queues, wanted.service)
    waiters = sorted((*queue.waiters, waiter), key=_service_order)
    last = max(waiter.tag, queue.last_tags.get(wanted.organisation, waiter.tag))
    last_tags = queue.last_tags.set(wanted.organisation, last)
    queue = evolve(queue, waiters=tuple(waiters), last_tags=last_tags)
    queues = evolve(queues, next_ticket=queues.next_ticket + 1)
    return _set_queue(queues, wanted.service, queue)


def _service_order(waiter: Waiter) -> tuple[float, int]:
    return (waiter.tag, waiter.ticket)


def _choose_evicted(
    queues: RequestQueues, organisation: OrganisationName | None
) -> Waiter | None:
    """Return the last waiter of the organisation that waits most, if not this one."""
    waiters = [one for queue in queues.by_service.values() for one in queue.waiters]
    counts = Counter(one.wanted.organisation for one in waiters)
    if not counts or counts[organisation] + 1 >= max(counts.values()):
        return None
    most = max(counts.values())
    last = [one for one in waiters if counts[one.wanted.organisation] == most]
    return max(last, key=_service_order)


def _set_queue(
    queues: RequestQueues, service: ServiceName, queue: RequestQueue
) -> RequestQueues:
    return evolve(queues, by_service=queues.by_service.set(service, queue))
