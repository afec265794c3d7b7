"""Queue requests fairly by organisation; refuse those that would miss deadlines."""

from .fairness import (
    Enqueued,
    EnqueueRefused,
    count_queued,
    dequeue,
    enqueue,
    get_queue,
    list_hopeless,
    refresh_order,
    remove_request,
)
from .urgency import name_of, urgency_of

__all__ = [
    "EnqueueRefused",
    "Enqueued",
    "count_queued",
    "dequeue",
    "enqueue",
    "get_queue",
    "list_hopeless",
    "name_of",
    "refresh_order",
    "remove_request",
    "urgency_of",
]
