"""Hold the requests that wait for a slot, until exactly one thread resolves each."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Generic, TypeVar

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import REQUEST_QUEUES
from ..decisions.queueing import (
    Enqueued,
    EnqueueRefused,
    dequeue,
    get_queue,
    refresh_order,
    remove_request,
)
from ..records import QueuedRequest, RequestQueue, RequestQueues, ServiceName
from ..utils import Clock

__all__ = ["WaitingRequests"]

R = TypeVar("R")


@define(kw_only=True, eq=False)
class WaitingRequests(Generic[R]):
    """Write the request queues region; map each queued request to its future.

    Whoever takes a request out of its queue sets the result of its future.
    """

    board: Board
    clock: Clock
    _futures: dict[int, Future[R]] = field(factory=dict, init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)

    def queue_of(self, service: ServiceName) -> RequestQueue:
        """Return the queue of a service."""
        return get_queue(self.board.read(REQUEST_QUEUES), service)

    def add(
        self,
        decide: Callable[[RequestQueues], Enqueued | EnqueueRefused],
        future: Future[R],
    ) -> tuple[Enqueued | EnqueueRefused, Future[R] | None]:
        """Return what `decide` returns, and the future of the request it evicts."""
        with self._lock:
            result = decide(self.board.read(REQUEST_QUEUES))
            evicted_future = None
            match result:
                case EnqueueRefused():
                    pass
                case Enqueued(queues=queues, request=request, evicted=evicted):
                    self._futures[request.ticket] = future
                    if evicted is not None:
                        evicted_future = self._futures.pop(evicted.ticket)
                    self._write(queues)
            return result, evicted_future

    def refresh(self, service: ServiceName) -> RequestQueue:
        """Bring the queue of a service into the order as of now; return the queue."""
        queue = self.queue_of(service)
        if not queue.queued:
            return queue  # does not wait for threads of other services
        with self._lock:
            queues = self.board.read(REQUEST_QUEUES)
            now_s = self.clock.monotonic_s()
            ordered = refresh_order(queues, service, now_s=now_s)
            if ordered is not queues:
                self._write(ordered)
            return get_queue(ordered, service)

    def take_served(self, request: QueuedRequest) -> Future[R] | None:
        """Take a request that gets a slot; return None if it has left the queue."""
        return self._take(
            request.ticket,
            lambda queues, now_s: dequeue(queues, request, now_s=now_s),
        )

    def take_unserved(self, ticket: int) -> Future[R] | None:
        """Take a request that gets no slot; return None if it has left the queue."""
        return self._take(
            ticket,
            lambda queues, now_s: remove_request(queues, ticket, now_s=now_s),
        )

    def _take(
        self, ticket: int, remove: Callable[[RequestQueues, float], RequestQueues]
    ) -> Future[R] | None:
        with self._lock:
            future = self._futures.pop(ticket, None)
            if future is not None:
                queues = self.board.read(REQUEST_QUEUES)
                self._write(remove(queues, self.clock.monotonic_s()))
            return future

    def _write(self, queues: RequestQueues) -> None:
        self.board.write(REQUEST_QUEUES, queues, writer=REQUEST_QUEUES.writer)
