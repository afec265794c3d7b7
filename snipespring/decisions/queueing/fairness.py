"""Queue requests by start-time fair queuing with equal weights.

The load is that of more requests than the servers have slots for, from organisations
of unlike size and of unlike urgency.
"""

from collections import Counter
from collections.abc import Sequence

from attrs import evolve, frozen
from immutables import Map

from ...records import (
    OrganisationName,
    QueuedRequest,
    RequestQueue,
    RequestQueues,
    ServiceName,
    SlotRequest,
)

__all__ = [
    "EnqueueRefused",
    "Enqueued",
    "count_queued",
    "dequeue",
    "enqueue",
    "get_queue",
    "list_hopeless",
    "remove_request",
]

MIN_RETRY_AFTER_S = 0.05
# A request stands back by so many turns of its organisation for each level of priority
# that it is less urgent. It is never starved, since its place comes nearer.
TURNS_PER_PRIORITY = 4.0
# The queue may move this much faster than estimated from the attempts in flight.
MAX_SPEEDUP = 2.0
EMPTY_QUEUE = RequestQueue()
NO_TIMES: Map[str, float] = Map()


@frozen(kw_only=True)
class Enqueued:
    """Return the queues with a new request, and the request evicted for it."""

    queues: RequestQueues
    request: QueuedRequest
    evicted: QueuedRequest | None = None


@frozen(kw_only=True)
class EnqueueRefused:
    """Refuse to queue a request, for the reason given."""

    reason: str
    retry_after_s: float


def get_queue(queues: RequestQueues, service: ServiceName) -> RequestQueue:
    """Return the queue of a service."""
    return queues.by_service.get(service, EMPTY_QUEUE)


def count_queued(queues: RequestQueues) -> int:
    """Return the number of requests queued on this host."""
    return sum(len(queue.queued) for queue in queues.by_service.values())


def enqueue(
    queues: RequestQueues,
    slot_request: SlotRequest,
    *,
    max_queued: int,
    in_flight: int,
    service_s: float,
    now_s: float,
    service_s_by_route: Map[str, float] = NO_TIMES,
    has_free_slots: bool = False,
) -> Enqueued | EnqueueRefused:
    """Queue a request for a slot and evict another if `max_queued` are waiting.

    The estimated wait follows from the requests ahead and from `in_flight`
    concurrent attempts of `service_s` seconds each, or of the seconds of their routes
    where these are known. A request that would miss its deadline is refused, unless the
    servers have free slots: then the wait does not depend on this host's attempts.
    """
    times = _ServiceTimes(mean_s=service_s, by_route=service_s_by_route)
    queue = get_queue(queues, slot_request.service)
    tag = (
        _next_start_tag(queue, slot_request.organisation)
        if slot_request.tag is None
        else slot_request.tag
    )
    request = QueuedRequest(
        ticket=queues.next_ticket, tag=tag, slot_request=slot_request
    )
    ahead = [
        other
        for other in queue.queued
        if _service_sort_key(other) < _service_sort_key(request)
    ]
    wait_s = _estimate_wait_s(ahead, times, in_flight=in_flight)
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
    answer_s = times.of(request)
    remaining_s = slot_request.deadline_at_s - now_s
    if wait_s + answer_s > remaining_s and not has_free_slots:
        return EnqueueRefused(
            reason=(
                f"estimated wait of {wait_s:.3f} s behind {len(ahead)} requests and "
                f"{answer_s:.3f} s of service would exceed the deadline in "
                f"{remaining_s:.3f} s"
            ),
            retry_after_s=retry_after_s,
        )
    evicted = None
    if count_queued(queues) >= max_queued:
        evicted = _choose_evicted(queues, slot_request.organisation)
        if evicted is None:
            return EnqueueRefused(
                reason=(
                    f"queue full with {max_queued} requests; "
                    "no other organisation has more of them"
                ),
                retry_after_s=retry_after_s,
            )
        queues = remove_request(queues, evicted.ticket)
    queues = _insert(queues, request)
    return Enqueued(queues=queues, request=request, evicted=evicted)


def list_hopeless(
    queue: RequestQueue,
    *,
    in_flight: int,
    service_s: float,
    now_s: float,
    service_s_by_route: Map[str, float] = NO_TIMES,
    has_free_slots: bool = False,
) -> tuple[tuple[QueuedRequest, float], ...]:
    """Return the queued requests that will miss their deadlines, and their waits.

    They would miss them even if the queue moved faster than estimated, as happens when
    the servers become slower or are lost while requests wait. While servers have free
    slots, the wait is not estimated.
    """
    times = _ServiceTimes(mean_s=service_s, by_route=service_s_by_route)
    hopeless: list[tuple[QueuedRequest, float]] = []
    ahead: list[QueuedRequest] = []
    for request in queue.queued:
        wait_s = _estimate_wait_s(ahead, times, in_flight=in_flight)
        least_s = 0.0 if has_free_slots else wait_s / MAX_SPEEDUP
        if now_s + least_s + times.of(request) > request.slot_request.deadline_at_s:
            hopeless.append((request, max(MIN_RETRY_AFTER_S, wait_s)))
        else:
            ahead.append(request)
    return tuple(hopeless)


def remove_request(queues: RequestQueues, ticket: int) -> RequestQueues:
    """Return the queues without one request that got no slot.

    The later requests of its organisation take the place of the one before them, as
    if the removed request had never been queued.
    """
    for service, queue in queues.by_service.items():
        for request in queue.queued:
            if request.ticket == ticket:
                return _set_queue(queues, service, _withdraw(queue, request))
    return queues


def dequeue(queues: RequestQueues, request: QueuedRequest) -> RequestQueues:
    """Return the queues without a request that got a slot.

    Virtual time advances to the request's start tag.
    """
    service = request.slot_request.service
    queue = get_queue(queues, service)
    remaining = tuple(other for other in queue.queued if other.ticket != request.ticket)
    if not remaining:
        return _set_queue(queues, service, EMPTY_QUEUE)
    virtual_time = max(queue.virtual_time, request.tag)
    queue = evolve(queue, queued=remaining, virtual_time=virtual_time)
    return _set_queue(queues, service, queue)


def _withdraw(queue: RequestQueue, removed: QueuedRequest) -> RequestQueue:
    organisation = removed.slot_request.organisation
    remaining = {
        request.ticket: request
        for request in queue.queued
        if request.ticket != removed.ticket
    }
    if not remaining:
        return EMPTY_QUEUE
    free_tag = removed.tag
    for request in sorted(remaining.values(), key=_tag_order):
        is_same = request.slot_request.organisation == organisation
        if is_same and _tag_order(request) > _tag_order(removed):
            remaining[request.ticket] = evolve(request, tag=free_tag)
            free_tag = request.tag
    last_tags = queue.last_tags
    if last_tags.get(organisation) == free_tag:
        # The next request of the organisation gets the tag that became free.
        last_tags = last_tags.set(organisation, free_tag - 1.0)
    return evolve(
        queue,
        queued=tuple(sorted(remaining.values(), key=_service_sort_key)),
        last_tags=last_tags,
    )


def _tag_order(request: QueuedRequest) -> tuple[float, int]:
    return (request.tag, request.ticket)


def _next_start_tag(
    queue: RequestQueue, organisation: OrganisationName | None
) -> float:
    last = queue.last_tags.get(organisation)
    return queue.virtual_time if last is None else max(queue.virtual_time, last + 1.0)


def _insert(queues: RequestQueues, request: QueuedRequest) -> RequestQueues:
    slot_request = request.slot_request
    queue = get_queue(queues, slot_request.service)
    queued = sorted((*queue.queued, request), key=_service_sort_key)
    last = max(request.tag, queue.last_tags.get(slot_request.organisation, request.tag))
    last_tags = queue.last_tags.set(slot_request.organisation, last)
    queue = evolve(queue, queued=tuple(queued), last_tags=last_tags)
    queues = evolve(queues, next_ticket=queues.next_ticket + 1)
    return _set_queue(queues, slot_request.service, queue)


@frozen(kw_only=True)
class _ServiceTimes:
    """Hold the mean seconds of a service's answers, with those of known routes."""

    mean_s: float
    by_route: Map[str, float]

    def of(self, request: QueuedRequest) -> float:
        """Return the mean seconds for the request's route."""
        return self.by_route.get(request.slot_request.route, self.mean_s)


def _estimate_wait_s(
    ahead: Sequence[QueuedRequest], times: _ServiceTimes, *, in_flight: int
) -> float:
    """Return the wait for the end of an attempt in flight and of those ahead."""
    total_s = times.mean_s + sum(times.of(request) for request in ahead)
    return total_s / max(1, in_flight)


def _service_sort_key(request: QueuedRequest) -> tuple[float, int]:
    turns = TURNS_PER_PRIORITY * request.slot_request.priority
    return (request.tag + turns, request.ticket)


def _choose_evicted(
    queues: RequestQueues, organisation: OrganisationName | None
) -> QueuedRequest | None:
    """Return the last request of the organisation with most requests queued.

    None is returned if the given organisation would have as many or more.
    """
    queued = [
        request for queue in queues.by_service.values() for request in queue.queued
    ]
    counts = Counter(request.slot_request.organisation for request in queued)
    if not counts or counts[organisation] + 1 >= max(counts.values()):
        return None
    most = max(counts.values())
    candidates = [
        request
        for request in queued
        if counts[request.slot_request.organisation] == most
    ]
    return max(candidates, key=_service_sort_key)


def _set_queue(
    queues: RequestQueues, service: ServiceName, queue: RequestQueue
) -> RequestQueues:
    return evolve(queues, by_service=queues.by_service.set(service, queue))
