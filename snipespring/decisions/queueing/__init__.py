"""Queue requests fairly by organisation; refuse those that would miss deadlines."""

from .fairness import (
    Enqueued,
    EnqueueRefused,
    count_queued,
    dequeue,
    enqueue,
    get_queue,
    remove_request,
)

__all__ = [
    "EnqueueRefused",
    "Enqueued",
    "count_queued",
    "dequeue",
    "enqueue",
    "get_queue",
    "remove_request",
]
