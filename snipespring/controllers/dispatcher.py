"""Hand servers' slots to requests, in fair order while slots are short."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from math import inf
from random import Random
from typing import Any

from attrs import define, field, frozen

from ..blackboard import Board, Region
from ..blackboard.regions import (
    CONFIGURATION,
    REQUEST_QUEUES,
    SERVER_LOADS,
    SERVER_STATES,
    SERVER_SUBSETS,
)
from ..decisions.queueing import (
    Enqueued,
    EnqueueRefused,
    dequeue,
    enqueue,
    get_queue,
    remove_request,
)
from ..decisions.routing import (
    Chosen,
    NoServer,
    ServersBusy,
    cancel_reservation,
    choose_server,
    release_server,
    remove_unused_servers,
    reserve_server,
    service_load_of,
)
from ..records import (
    BackendResult,
    QueuedRequest,
    ServerId,
    ServerLoads,
    ServerSubsets,
    ServiceLoad,
    ServiceName,
    SlotRequest,
)
from ..utils import Clock

__all__ = ["Dispatcher", "NotPlaced", "Placed"]

MIN_STEP_DELAY_S = 0.001
RETRY_AFTER_S = 0.2
SUBSET_SELECTION_DELAY_S = 0.1  # the servers of a new service are chosen within this


@frozen(kw_only=True)
class Placed:
    """Grant a slot of a server; `tag` is the request's place in the fair order."""

    server: ServerId
    tag: float


@frozen(kw_only=True)
class NotPlaced:
    """State why the request got no slot."""

    reason: str
    retry_after_s: float


@define(kw_only=True, eq=False)
class Dispatcher:
    """Write the server loads and request queues regions."""

    board: Board
    clock: Clock
    rng: Random
    max_queued: int
    name: str = "dispatcher"
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _known_subsets: ServerSubsets | None = field(default=None, init=False)
    _futures: dict[int, Future[Placed | NotPlaced]] = field(factory=dict, init=False)

    @property
    def watches(self) -> tuple[Region[Any], ...]:
        """Return the regions whose writes wake the controller."""
        return (REQUEST_QUEUES, SERVER_STATES, SERVER_SUBSETS)

    def step(self) -> float | None:
        """Place the waiters that can go; return seconds until one more may."""
        with self._lock:
            self._remove_unused_servers()
            queues = self.board.read(REQUEST_QUEUES).by_service
            waiting = [name for name, queue in queues.items() if queue.queued]
            free_at_s = min((self._dispatch(name) for name in waiting), default=inf)
        if free_at_s == inf:
            return None
        return max(MIN_STEP_DELAY_S, free_at_s - self.clock.monotonic_s())

    def place(self, slot_request: SlotRequest) -> Placed | NotPlaced:
        """Return a server with a free slot, after waiting for it if need be."""
        with self._lock:
            placed = self._place_without_waiting(slot_request)
            if placed is not None:
                return placed
            fut, ticket = self._enqueue(slot_request)
            self._dispatch(slot_request.service)
        return self._wait(fut, ticket, slot_request)

    def release(
        self, server: ServerId, result: BackendResult, *, started_s: float
    ) -> None:
        """Take back the slot of an attempt that ended."""
        now_s = self.clock.monotonic_s()
        with self._lock:
            self._change_loads(
                lambda loads: release_server(
                    loads, server, result, started_s=started_s, now_s=now_s
                )
            )
            self._dispatch(server.service)

    def cancel(self, server: ServerId) -> None:
        """Take back a slot to which nothing was sent."""
        with self._lock:
            self._change_loads(lambda loads: cancel_reservation(loads, server))
            self._dispatch(server.service)

    def _remove_unused_servers(self) -> None:
        subsets = self.board.read(SERVER_SUBSETS)
        if subsets is self._known_subsets:
            return
        self._known_subsets = subsets
        members = [one for held in subsets.by_service.values() for one in held.members]
        kept = {member.rule.server for member in members}
        self._change_loads(lambda loads: remove_unused_servers(loads, kept))

    def _place_without_waiting(
        self, slot_request: SlotRequest
    ) -> Placed | NotPlaced | None:
        if self.clock.monotonic_s() >= slot_request.deadline_at_s:
            return NotPlaced(reason="the deadline is over", retry_after_s=0.0)
        queue = get_queue(self.board.read(REQUEST_QUEUES), slot_request.service)
        if queue.queued:
            return None
        match self._reserve(slot_request):
            case Chosen(server=server):
                return Placed(server=server, tag=queue.virtual_time)
            case NoServer(reason=reason):
                return NotPlaced(reason=reason, retry_after_s=RETRY_AFTER_S)
            case ServersBusy(free_at_s=free_at_s):
                return self._refuse_if_too_late(slot_request, free_at_s)

    def _refuse_if_too_late(
        self, slot_request: SlotRequest, free_at_s: float
    ) -> NotPlaced | None:
        """Refuse where every server backs off until after the deadline."""
        if self._service_load(slot_request.service).in_flight > 0:
            return None
        if (
            free_at_s + self._service_load(slot_request.service).mean_service_s
            <= slot_request.deadline_at_s
        ):
            return None
        delay_s = min(RETRY_AFTER_S, free_at_s - self.clock.monotonic_s())
        reason = "every server is busy until after the deadline"
        return NotPlaced(reason=reason, retry_after_s=delay_s)

    def _enqueue(
        self, slot_request: SlotRequest
    ) -> tuple[Future[Placed | NotPlaced], int]:
        fut: Future[Placed | NotPlaced] = Future()
        joined = enqueue(
            self.board.read(REQUEST_QUEUES),
            slot_request,
            max_queued=self.max_queued,
            in_flight=self._service_load(slot_request.service).in_flight,
            service_s=self._service_load(slot_request.service).mean_service_s,
            now_s=self.clock.monotonic_s(),
        )
        match joined:
            case EnqueueRefused(reason=reason, retry_after_s=retry_after_s):
                fut.set_result(NotPlaced(reason=reason, retry_after_s=retry_after_s))
                return fut, -1
            case Enqueued(queues=queues, request=waiter, evicted=evicted):
                self._futures[waiter.ticket] = fut
                self.board.write(REQUEST_QUEUES, queues, writer=self.name)
                if evicted is not None:
                    self._resolve(evicted, _make_evicted_result())
                return fut, waiter.ticket

    def _wait(
        self, future: Future[Placed | NotPlaced], ticket: int, slot_request: SlotRequest
    ) -> Placed | NotPlaced:
        latest_s = (
            slot_request.deadline_at_s
            - self._service_load(slot_request.service).mean_service_s
        )
        try:
            return future.result(max(0.0, latest_s - self.clock.monotonic_s()))
        except TimeoutError:
            pass
        with self._lock:
            if future.done():
                return future.result()
            self._remove_request(ticket)
            del self._futures[ticket]
        reason = "no slot came free in time for the deadline"
        return NotPlaced(reason=reason, retry_after_s=RETRY_AFTER_S)

    def _dispatch(self, service: ServiceName) -> float:
        """Place waiters in order; return when one more may have room."""
        free_at_s = inf
        for waiter in get_queue(self.board.read(REQUEST_QUEUES), service).queued:
            match self._reserve(waiter.slot_request):
                case Chosen(server=server):
                    queues = dequeue(self.board.read(REQUEST_QUEUES), waiter)
                    self.board.write(REQUEST_QUEUES, queues, writer=self.name)
                    self._resolve(waiter, Placed(server=server, tag=waiter.tag))
                case NoServer(reason=reason):
                    self._remove_request(waiter.ticket)
                    none = NotPlaced(reason=reason, retry_after_s=RETRY_AFTER_S)
                    self._resolve(waiter, none)
                case ServersBusy(free_at_s=at_s):
                    free_at_s = min(free_at_s, at_s)
                    if _accepts_any_server(waiter):
                        break
        return free_at_s

    def _remove_request(self, ticket: int) -> None:
        queues = remove_request(self.board.read(REQUEST_QUEUES), ticket)
        self.board.write(REQUEST_QUEUES, queues, writer=self.name)

    def _resolve(self, request: QueuedRequest, result: Placed | NotPlaced) -> None:
        self._futures.pop(request.ticket).set_result(result)

    def _reserve(self, slot_request: SlotRequest) -> Chosen | NoServer | ServersBusy:
        service = slot_request.service
        subset = self.board.read(SERVER_SUBSETS).by_service.get(service)
        if subset is None:
            return self._wait_for_subset(service)
        chosen = choose_server(
            subset,
            self.board.read(SERVER_LOADS),
            self.board.read(SERVER_STATES),
            slot_request.placement,
            now_s=self.clock.monotonic_s(),
            rng=self.rng,
        )
        match chosen:
            case Chosen(server=server):
                self._change_loads(lambda loads: reserve_server(loads, server))
            case NoServer() | ServersBusy():
                pass
        return chosen

    def _wait_for_subset(self, service: ServiceName) -> NoServer | ServersBusy:
        """Let requests wait for the choice that follows each new service."""
        if service in self.board.read(CONFIGURATION).services:
            return ServersBusy(
                free_at_s=self.clock.monotonic_s() + SUBSET_SELECTION_DELAY_S
            )
        return NoServer(reason=f"there is no service {service}")

    def _change_loads(self, change: Callable[[ServerLoads], ServerLoads]) -> None:
        self.board.update(SERVER_LOADS, change, writer=self.name)

    def _service_load(self, service: ServiceName) -> ServiceLoad:
        return service_load_of(self.board.read(SERVER_LOADS), service)


def _accepts_any_server(request: QueuedRequest) -> bool:
    placement = request.slot_request.placement
    return placement.repeatable and not placement.excluded


def _make_evicted_result() -> NotPlaced:
    reason = "the queue is full, most of it of this organisation"
    return NotPlaced(reason=reason, retry_after_s=RETRY_AFTER_S)
