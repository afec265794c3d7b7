"""Order waiting requests fairly by organisation and refuse those without hope."""

from .fairness import (
    Enqueued,
    EnqueueRefused,
    count_waiters,
    enqueue,
    get_queue,
    remove_waiter,
    serve_waiter,
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
