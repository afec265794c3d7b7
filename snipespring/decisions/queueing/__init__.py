"""Order waiting requests fairly by organisation and refuse those without hope."""

from .fairness import (
    Joined,
    QueueRefused,
    count_waiters,
    join_queue,
    leave_queue,
    queue_of,
    serve_waiter,
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
