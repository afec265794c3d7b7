"""Order the requests of a queue by what their loss would cost.

The load is that of more requests than the servers have slots for, of kinds that differ
in urgency, objective and work.
"""

from attrs import evolve

from ...records import QueuedRequest, RequestKind, RequestQueue

__all__ = [
    "cost_of",
    "count_served",
    "kind_of",
    "register_kind",
    "service_sort_key",
    "sort_queue",
]

# A request stands back by so many turns of its organisation for each level of priority
# that it is less urgent. It is never starved, since its place comes nearer.
TURNS_PER_PRIORITY = 4.0
# It stands back by this many turns once it cannot meet its objective, which is less
# than a level of priority.
TURNS_IF_LATE = 2.0
# Each kind of request gets at least this part of the average share.
MIN_SHARE = 0.25


def kind_of(request: QueuedRequest) -> RequestKind:
    """Return the kind of a request, by its priority and route."""
    slot_request = request.slot_request
    return RequestKind(priority=slot_request.priority, route=slot_request.route)


def cost_of(request: QueuedRequest, *, now_s: float) -> tuple[int, bool, float]:
    """Return a key by which the request whose loss costs least is the highest."""
    is_late = now_s > request.latest_start_s
    return (request.slot_request.priority, is_late, request.work_turns)


def service_sort_key(request: QueuedRequest, *, now_s: float) -> tuple[float, int]:
    """Return the position of a request in its queue, before kinds that were left out.

    It adds the turns that a request stands back to its turn among the organisations, so
    that an organisation gets no further ahead by sending more.
    """
    priority, is_late, work_turns = cost_of(request, now_s=now_s)
    turns = TURNS_PER_PRIORITY * priority + TURNS_IF_LATE * is_late + work_turns
    return (request.tag + turns, request.ticket)


def sort_queue(queue: RequestQueue, *, now_s: float) -> RequestQueue:
    """Return the queue in the order of service, the same queue if nothing changes.

    The first request of each kind that got less than its least share goes first.
    """
    queued = sorted(
        queue.queued, key=lambda request: service_sort_key(request, now_s=now_s)
    )
    first, seen = [], set()
    for request in queued:
        kind = kind_of(request)
        if kind not in seen and queue.credits.get(kind, 0.0) >= 1.0:
            first.append(request)
        seen.add(kind)
    if first:
        queued = [*first, *(other for other in queued if other not in first)]
    ordered = tuple(queued)
    return queue if ordered == queue.queued else evolve(queue, queued=ordered)


def register_kind(queue: RequestQueue, request: QueuedRequest) -> RequestQueue:
    """Return the queue with the kind of a new request known.

    Kinds are known until the queue is empty, also while none of their requests waits,
    since those may have been refused.
    """
    kind = kind_of(request)
    if kind in queue.credits:
        return queue
    return evolve(queue, credits=queue.credits.set(kind, 0.0))


def count_served(queue: RequestQueue, request: QueuedRequest) -> RequestQueue:
    """Return the queue after a request got a slot, which earns credit for each kind."""
    served = kind_of(request)
    earned = MIN_SHARE / max(1, len(queue.credits))
    credits = queue.credits
    for kind, credit in queue.credits.items():
        spent = 1.0 if kind == served else 0.0
        credits = credits.set(kind, min(1.0, max(0.0, credit + earned - spent)))
    return evolve(queue, credits=credits)
