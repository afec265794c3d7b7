"""Queue requests by start-time fair queuing with equal weights.

The load is that of more requests than the servers have slots for, from organisations
of unlike size and of unlike urgency.
"""

from collections import Counter

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
from .order import (
    MIN_SHARE,
    cost_of,
    count_served,
    kind_of,
    register_kind,
    service_sort_key,
    sort_queue,
)

__all__ = [
    "EnqueueRefused",
    "Enqueued",
    "count_queued",
    "dequeue",
    "enqueue",
    "get_queue",
    "list_hopeless",
    "refresh_order",
    "remove_request",
]

MIN_RETRY_AFTER_S = 0.05
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
    answer_s = times.of(slot_request)
    request = QueuedRequest(
        ticket=queues.next_ticket,
        tag=tag,
        slot_request=slot_request,
        latest_start_s=slot_request.objective_at_s - answer_s,
        work_turns=answer_s / (answer_s + service_s) if service_s > 0.0 else 0.0,
    )
    queue = sort_queue(evolve(queue, queued=(*queue.queued, request)), now_s=now_s)
    ahead = queue.queued[: queue.queued.index(request)]
    ahead_s = sum(times.of(other.slot_request) for other in ahead)
    wait_s = _estimate_wait_s(ahead_s, times, in_flight=in_flight)
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
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
        evicted = _choose_evicted(queues, request, now_s=now_s)
        if evicted is None:
            return EnqueueRefused(
                reason=(
                    f"queue full with {max_queued} requests; no other organisation "
                    "has more of them and none costs less to lose"
                ),
                retry_after_s=retry_after_s,
            )
        queues = remove_request(queues, evicted.ticket, now_s=now_s)
    queues = _insert(queues, request, now_s=now_s)
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
    ahead_s = 0.0
    for request in queue.queued:
        wait_s = _estimate_wait_s(ahead_s, times, in_flight=in_flight)
        least_s = 0.0 if has_free_slots else wait_s / MAX_SPEEDUP
        if (
            now_s + least_s + times.of(request.slot_request)
            > request.slot_request.deadline_at_s
        ):
            hopeless.append((request, max(MIN_RETRY_AFTER_S, wait_s)))
        else:
            ahead_s += times.of(request.slot_request)
    return tuple(hopeless)


def refresh_order(
    queues: RequestQueues, service: ServiceName, *, now_s: float
) -> RequestQueues:
    """Return the queues with the requests of a service in the order as of now.

    Requests stand back once they cannot meet their objectives any more.
    """
    queue = get_queue(queues, service)
    ordered = sort_queue(queue, now_s=now_s)
    return queues if ordered is queue else _set_queue(queues, service, ordered)


def remove_request(
    queues: RequestQueues, ticket: int, *, now_s: float = 0.0
) -> RequestQueues:
    """Return the queues without one request that got no slot.

    The later requests of its organisation take the place of the one before them, as
    if the removed request had never been queued.
    """
    for service, queue in queues.by_service.items():
        for request in queue.queued:
            if request.ticket == ticket:
                left = sort_queue(_withdraw(queue, request), now_s=now_s)
                return _set_queue(queues, service, left)
    return queues


def dequeue(
    queues: RequestQueues, request: QueuedRequest, *, now_s: float = 0.0
) -> RequestQueues:
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
    queue = sort_queue(count_served(queue, request), now_s=now_s)
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
        queued=tuple(remaining.values()),
        last_tags=last_tags,
    )


def _tag_order(request: QueuedRequest) -> tuple[float, int]:
    return (request.tag, request.ticket)


def _next_start_tag(
    queue: RequestQueue, organisation: OrganisationName | None
) -> float:
    last = queue.last_tags.get(organisation)
    return queue.virtual_time if last is None else max(queue.virtual_time, last + 1.0)


def _insert(
    queues: RequestQueues, request: QueuedRequest, *, now_s: float
) -> RequestQueues:
    slot_request = request.slot_request
    queue = get_queue(queues, slot_request.service)
    last = max(request.tag, queue.last_tags.get(slot_request.organisation, request.tag))
    last_tags = queue.last_tags.set(slot_request.organisation, last)
    queue = evolve(queue, queued=(*queue.queued, request), last_tags=last_tags)
    queue = sort_queue(register_kind(queue, request), now_s=now_s)
    queues = evolve(queues, next_ticket=queues.next_ticket + 1)
    return _set_queue(queues, slot_request.service, queue)


@frozen(kw_only=True)
class _ServiceTimes:
    """Hold the mean seconds of a service's answers, with those of known routes."""

    mean_s: float
    by_route: Map[str, float]

    def of(self, slot_request: SlotRequest) -> float:
        """Return the mean seconds for the request's route."""
        return self.by_route.get(slot_request.route, self.mean_s)


def _estimate_wait_s(ahead_s: float, times: _ServiceTimes, *, in_flight: int) -> float:
    """Return the wait for an attempt in flight and for `ahead_s` of work ahead."""
    return (times.mean_s + ahead_s) / max(1, in_flight)


def _choose_evicted(
    queues: RequestQueues, new: QueuedRequest, *, now_s: float
) -> QueuedRequest | None:
    """Return the request to lose for a new one, None if the new one is to be lost.

    It is the one that costs least to lose of the organisation with most requests
    queued. An organisation with as many or more loses one of its own, if that costs
    less than the new one or if the queue has hardly any of the new one's kind.
    """
    queued = [
        request for queue in queues.by_service.values() for request in queue.queued
    ]
    organisation = new.slot_request.organisation
    counts = Counter(request.slot_request.organisation for request in queued)
    if not counts:
        return None
    most = max(counts.values())

    def key(request: QueuedRequest) -> tuple[object, ...]:
        return (cost_of(request, now_s=now_s), service_sort_key(request, now_s=now_s))

    if counts[organisation] + 1 < most:
        return max(
            (
                request
                for request in queued
                if counts[request.slot_request.organisation] == most
            ),
            key=key,
        )
    kinds = Counter(kind_of(request) for request in (*queued, new))
    # So many requests of each kind stay, and may come in, so that no kind is starved.
    least = MIN_SHARE * len(queued) / len(kinds)
    is_protected = kinds[kind_of(new)] <= max(1.0, least)
    own = [
        request
        for request in queued
        if request.slot_request.organisation == organisation
        and kinds[kind_of(request)] > max(1.0, least)
        and (is_protected or cost_of(request, now_s=now_s) > cost_of(new, now_s=now_s))
    ]
    return max(own, key=key, default=None)


def _set_queue(
    queues: RequestQueues, service: ServiceName, queue: RequestQueue
) -> RequestQueues:
    return evolve(queues, by_service=queues.by_service.set(service, queue))
