"""Assign server slots to requests, in fair order while slots are scarce."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial
from math import inf
from random import Random
from typing import Any

from attrs import define, field, frozen

from ..blackboard import Board, Region
from ..blackboard.regions import (
    ANSWER_LOG,
    CONFIGURATION,
    CONFIGURATION_FEED,
    EVACUATION_FEED,
    EVACUATIONS,
    FAILURE_LOG,
    FLEET_VIEW,
    HOST_FEED,
    REQUEST_QUEUES,
    SERVER_FEED,
    SERVER_LOADS,
    SERVER_STATES,
    SERVER_SUBSETS,
)
from ..decisions.overload import spread_retry_after
from ..decisions.places import (
    NoUsableServer,
    find_known_s,
    list_evacuated,
    select_usable_servers,
)
from ..decisions.queueing import (
    Enqueued,
    EnqueueRefused,
    enqueue,
    list_hopeless,
)
from ..decisions.routing import (
    Chosen,
    NoServer,
    ServersBusy,
    answer_s_of,
    begin_warmups,
    cancel_reservation,
    choose_server,
    count_recent_outcomes,
    has_free_slots,
    list_answer_times,
    release_server,
    remove_unused_servers,
    reserve_server,
    service_load_of,
)
from ..records import (
    BackendResult,
    QueuedRequest,
    RecentOutcomes,
    ServerId,
    ServerLoads,
    ServerSubset,
    ServerSubsets,
    ServiceLoad,
    ServiceName,
    SlotRequest,
)
from ..utils import Clock
from .demand_recorder import read_fresh_view
from .waiting_requests import WaitingRequests

__all__ = ["Dispatcher", "NotPlaced", "Placed"]

MIN_STEP_DELAY_S = 0.001
# While requests are queued, this is how soon a server that is trusted again is used.
TRUST_CHECK_INTERVAL_S = 0.05
RETRY_AFTER_S = 0.2
# Within this time after a service is configured, its subset of servers is selected.
SUBSET_SELECTION_DELAY_S = 0.1


@frozen(kw_only=True)
class Placed:
    """Represent a reserved slot; `tag` is the request's position in the fair order."""

    server: ServerId
    tag: float


@frozen(kw_only=True)
class NotPlaced:
    """Explain why a request got no slot, and say when to retry."""

    reason: str
    retry_after_s: float


@define(kw_only=True, eq=False)
class Dispatcher:
    """Reserve and release slots; write the server loads and request queues regions.

    While a service fails, at least `floor_share` of its servers get requests. Each
    service has a lock of its own, so that none waits for threads of another.
    """

    board: Board
    clock: Clock
    rng: Random
    max_queued: int
    floor_share: float = 0.0
    name: str = "dispatcher"
    _waiting: WaitingRequests[Placed | NotPlaced] = field(init=False)
    _service_locks: dict[ServiceName, threading.Lock] = field(factory=dict, init=False)
    _adoption_lock: threading.Lock = field(factory=threading.Lock, init=False)
    _known_subsets: ServerSubsets | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the queues."""
        self._waiting = WaitingRequests(board=self.board, clock=self.clock)

    @property
    def watches(self) -> tuple[Region[Any], ...]:
        """Return the regions whose writes wake the controller."""
        return (REQUEST_QUEUES, SERVER_SUBSETS, EVACUATION_FEED)

    def step(self) -> float | None:
        """Place queued requests; return seconds until the next may be placed."""
        self._adopt_subsets()
        queues = self.board.read(REQUEST_QUEUES).by_service
        free_at_s = inf
        for service in [name for name, queue in queues.items() if queue.queued]:
            with self._lock_of(service):
                free_at_s = min(free_at_s, self._dispatch(service))
        if free_at_s < inf:
            return max(MIN_STEP_DELAY_S, free_at_s - self.clock.monotonic_s())
        has_queued = any(
            queue.queued
            for queue in self.board.read(REQUEST_QUEUES).by_service.values()
        )
        return TRUST_CHECK_INTERVAL_S if has_queued else None

    def place(self, slot_request: SlotRequest) -> Placed | NotPlaced:
        """Reserve a slot for a request, queueing it while no slot is free."""
        with self._lock_of(slot_request.service):
            placed = self._place_without_waiting(slot_request)
            if placed is not None:
                return placed
            future, ticket = self._enqueue(slot_request)
            self._dispatch(slot_request.service)
        return self._wait(future, ticket, slot_request)

    def place_at_once(self, slot_request: SlotRequest) -> Placed | NotPlaced:
        """Reserve a slot that is free now, without queueing the request."""
        with self._lock_of(slot_request.service):
            placed = self._place_without_waiting(slot_request)
        if placed is None:
            return NotPlaced(reason="no slot is free", retry_after_s=RETRY_AFTER_S)
        return placed

    def release(
        self,
        server: ServerId,
        result: BackendResult,
        *,
        started_s: float,
        route: str = "",
    ) -> None:
        """Release the slot of a completed attempt and record its result."""
        now_s = self.clock.monotonic_s()
        with self._lock_of(server.service):
            hosts, phase = self._count_hosts(), self.rng.random()
            self._change_loads(
                lambda loads: release_server(
                    loads,
                    server,
                    result,
                    started_s=started_s,
                    now_s=now_s,
                    hosts=hosts,
                    phase=phase,
                    route=route,
                )
            )
            self._dispatch(server.service)

    def cancel(self, server: ServerId) -> None:
        """Release a slot on which no attempt was sent."""
        with self._lock_of(server.service):
            self._change_loads(lambda loads: cancel_reservation(loads, server))
            self._dispatch(server.service)

    def _lock_of(self, service: ServiceName) -> threading.Lock:
        """Return the lock under which a service's slots are reserved and released."""
        return self._service_locks.setdefault(service, threading.Lock())

    def _adopt_subsets(self) -> ServerSubsets:
        """Return the subsets, whose cold servers have begun their warm-ups.

        The loads of unused servers are dropped.
        """
        subsets = self.board.read(SERVER_SUBSETS)
        if subsets is self._known_subsets:
            return subsets
        with self._adoption_lock:
            subsets = self.board.read(SERVER_SUBSETS)
            if subsets is not self._known_subsets:
                self._begin_use(subsets)
                self._known_subsets = subsets
        return subsets

    def _begin_use(self, subsets: ServerSubsets) -> None:
        members = [
            member
            for subset in subsets.by_service.values()
            for member in subset.members
        ]
        used_servers = {member.rule.server for member in members}
        now_s = self.clock.monotonic_s()
        self._change_loads(
            lambda loads: remove_unused_servers(loads, used_servers, now_s=now_s)
        )
        self._begin_warmups(subsets, now_s)

    def _begin_warmups(self, subsets: ServerSubsets, now_s: float) -> None:
        services = self.board.read(CONFIGURATION).services
        listed_hosts = len(self.board.read(HOST_FEED).items)
        hosts = self._count_hosts() if listed_hosts else None
        for name, subset in subsets.by_service.items():
            service = services.get(name)
            if service is None or service.cold_per_s is None:
                continue
            self._change_loads(
                partial(
                    begin_warmups,
                    rate_per_s=service.cold_per_s,
                    members=subset.members,
                    hosts=hosts,
                    phase=self.rng.random(),
                    now_s=now_s,
                )
            )

    def _place_without_waiting(
        self, slot_request: SlotRequest
    ) -> Placed | NotPlaced | None:
        if self.clock.monotonic_s() >= slot_request.deadline_at_s:
            return NotPlaced(reason="the deadline has passed", retry_after_s=0.0)
        queue = self._waiting.queue_of(slot_request.service)
        if queue.queued:
            return None
        match self._reserve(slot_request):
            case Chosen(server=server):
                return Placed(server=server, tag=queue.virtual_time)
            case NoServer(reason=reason):
                return NotPlaced(reason=reason, retry_after_s=RETRY_AFTER_S)
            case ServersBusy() as busy:
                return self._refuse_if_too_late(slot_request, busy)

    def _refuse_if_too_late(
        self, slot_request: SlotRequest, busy: ServersBusy
    ) -> NotPlaced | None:
        """Refuse the request if no server becomes free in time for its deadline.

        Return None if the request is to be queued, as it is while attempts in flight
        may free a server at any time.
        """
        load = self._service_load(slot_request.service)
        if busy.waits_for_attempts and load.in_flight > 0:
            return None
        answer_s = answer_s_of(load, slot_request.route)
        if busy.free_at_s + answer_s <= slot_request.deadline_at_s:
            return None
        delay_s = busy.free_at_s - self.clock.monotonic_s()
        reason = (
            f"the earliest server becomes free in {delay_s:.3f} s, after the deadline"
        )
        retry_after_s = RETRY_AFTER_S if delay_s == inf else delay_s
        return NotPlaced(reason=reason, retry_after_s=retry_after_s)

    def _enqueue(
        self, slot_request: SlotRequest
    ) -> tuple[Future[Placed | NotPlaced], int]:
        future: Future[Placed | NotPlaced] = Future()
        load = self._service_load(slot_request.service)
        result, evicted_future = self._waiting.add(
            partial(
                enqueue,
                slot_request=slot_request,
                max_queued=self.max_queued,
                in_flight=load.in_flight,
                service_s=load.mean_service_s,
                now_s=self.clock.monotonic_s(),
                service_s_by_route=list_answer_times(load),
                has_free_slots=self._has_free_slots(slot_request.service),
            ),
            future,
        )
        match result:
            case EnqueueRefused(reason=reason, retry_after_s=wait_s):
                retry_after_s = spread_retry_after(wait_s, rng=self.rng)
                future.set_result(NotPlaced(reason=reason, retry_after_s=retry_after_s))
                return future, -1
            case Enqueued(request=request, evicted=evicted):
                if evicted is not None and evicted_future is not None:
                    retry_after_s = self._retry_after_s(evicted.slot_request.service)
                    evicted_future.set_result(
                        _make_evicted_result(evicted, request, retry_after_s)
                    )
                return future, request.ticket

    def _wait(
        self, future: Future[Placed | NotPlaced], ticket: int, slot_request: SlotRequest
    ) -> Placed | NotPlaced:
        load = self._service_load(slot_request.service)
        latest_s = slot_request.deadline_at_s - answer_s_of(load, slot_request.route)
        try:
            return future.result(max(0.0, latest_s - self.clock.monotonic_s()))
        except TimeoutError:
            pass
        if self._waiting.take_unserved(ticket) is None:
            return future.result()
        reason = "no slot became free before the deadline"
        retry_after_s = self._retry_after_s(slot_request.service)
        return NotPlaced(reason=reason, retry_after_s=retry_after_s)

    def _retry_after_s(self, service: ServiceName) -> float:
        """Return when the requests that wait now will have got their slots."""
        load = self._service_load(service)
        queued = len(self._waiting.queue_of(service).queued)
        wait_s = (queued + 1) * load.mean_service_s / max(1, load.in_flight)
        return spread_retry_after(max(RETRY_AFTER_S, wait_s), rng=self.rng)

    def _dispatch(self, service: ServiceName) -> float:
        """Place queued requests in order; return when the next slot may be free."""
        free_at_s = inf
        for request in self._waiting.refresh(service).queued:
            match self._reserve(request.slot_request):
                case Chosen(server=server):
                    self._hand_over(server, request)
                case NoServer(reason=reason):
                    not_placed = NotPlaced(reason=reason, retry_after_s=RETRY_AFTER_S)
                    self._refuse(request, not_placed)
                case ServersBusy() as busy:
                    free_at_s = min(free_at_s, busy.free_at_s)
                    refused = self._refuse_if_too_late(request.slot_request, busy)
                    if refused is not None:
                        self._refuse(request, refused)
                        continue
                    if _accepts_any_server(request):
                        break
        self._refuse_hopeless(service)
        return free_at_s

    def _refuse_hopeless(self, service: ServiceName) -> None:
        """Refuse the queued requests that will miss their deadlines."""
        load = self._service_load(service)
        hopeless = list_hopeless(
            self._waiting.queue_of(service),
            in_flight=load.in_flight,
            service_s=load.mean_service_s,
            now_s=self.clock.monotonic_s(),
            service_s_by_route=list_answer_times(load),
            has_free_slots=self._has_free_slots(service),
        )
        for request, wait_s in hopeless:
            reason = f"an estimated wait of {wait_s:.3f} s more exceeds the deadline"
            retry_after_s = spread_retry_after(wait_s, rng=self.rng)
            not_placed = NotPlaced(reason=reason, retry_after_s=retry_after_s)
            self._refuse(request, not_placed)

    def _hand_over(self, server: ServerId, request: QueuedRequest) -> None:
        """Give a reserved slot to a request, or free it if the request has left."""
        future = self._waiting.take_served(request)
        if future is None:
            self._change_loads(lambda loads: cancel_reservation(loads, server))
        else:
            future.set_result(Placed(server=server, tag=request.tag))

    def _refuse(self, request: QueuedRequest, not_placed: NotPlaced) -> None:
        """Refuse a queued request unless it has left."""
        future = self._waiting.take_unserved(request.ticket)
        if future is not None:
            future.set_result(not_placed)

    def _reserve(self, slot_request: SlotRequest) -> Chosen | NoServer | ServersBusy:
        subsets = self._adopt_subsets()  # a server that has become cold is limited
        service = slot_request.service
        subset = subsets.by_service.get(service)
        if subset is None or (not subset.members and self._awaits_servers(service)):
            return self._wait_for_subset(service)
        now_s = self.clock.monotonic_s()
        known_s = find_known_s(self.board.read(EVACUATIONS), now_s=now_s)
        if known_s > now_s:
            return ServersBusy(free_at_s=min(known_s, now_s + SUBSET_SELECTION_DELAY_S))
        evacuated = list_evacuated(self.board.read(EVACUATION_FEED), now_s=now_s)
        regions = slot_request.placement.regions
        match select_usable_servers(subset, evacuated=evacuated, regions=regions):
            case NoUsableServer(reason=reason):
                return NoServer(reason=reason)
            case ServerSubset() as usable:
                return self._choose(usable, slot_request)

    def _choose(
        self, subset: ServerSubset, slot_request: SlotRequest
    ) -> Chosen | NoServer | ServersBusy:
        choice = choose_server(
            subset,
            self.board.read(SERVER_LOADS),
            self.board.read(SERVER_STATES),
            slot_request.placement,
            now_s=self.clock.monotonic_s(),
            rng=self.rng,
            outcomes=self._count_outcomes(subset),
            floor_share=self.floor_share,
        )
        match choice:
            case Chosen(server=server):
                hosts, now_s = self._count_hosts(), self.clock.monotonic_s()
                self._change_loads(
                    lambda loads: reserve_server(
                        loads, server, hosts=hosts, now_s=now_s
                    )
                )
            case NoServer() | ServersBusy():
                pass
        return choice

    def _count_hosts(self) -> int:
        """Return the number of hosts that may send requests to the same servers."""
        heard = self.board.read(FLEET_VIEW).heard_hosts
        return max(1, heard, len(self.board.read(HOST_FEED).items))

    def _count_outcomes(self, subset: ServerSubset) -> RecentOutcomes:
        return count_recent_outcomes(
            subset,
            self.board.read(ANSWER_LOG),
            self.board.read(FAILURE_LOG),
            self.board.read(FLEET_VIEW),
            now_s=self.clock.monotonic_s(),
        )

    def _awaits_servers(self, service: ServiceName) -> bool:
        """Return whether a service is about to get servers.

        Either they are known and not selected yet, or the first listing of registered
        servers is not confirmed, which may come after that of the configuration.
        """
        if self.board.read(CONFIGURATION).servers.get(service):
            return True
        follows_store = self.board.read(CONFIGURATION_FEED).revision is not None
        return follows_store and self.board.read(SERVER_FEED).confirmed_s is None

    def _wait_for_subset(self, service: ServiceName) -> NoServer | ServersBusy:
        """Queue requests of a new service until its servers are selected."""
        if service in self.board.read(CONFIGURATION).services:
            return ServersBusy(
                free_at_s=self.clock.monotonic_s() + SUBSET_SELECTION_DELAY_S
            )
        return NoServer(reason=f"service {service} is not configured")

    def _change_loads(self, change: Callable[[ServerLoads], ServerLoads]) -> None:
        self.board.update(SERVER_LOADS, change, writer=self.name)

    def _has_free_slots(self, service: ServiceName) -> bool:
        subset = self.board.read(SERVER_SUBSETS).by_service.get(service)
        slots = 0 if subset is None else subset.slots
        view = read_fresh_view(self.board, self.clock)
        others = None if view is None else view.demand.get(service)
        return has_free_slots(
            self._service_load(service),
            slots,
            None if others is None else others.counts,
        )

    def _service_load(self, service: ServiceName) -> ServiceLoad:
        return service_load_of(self.board.read(SERVER_LOADS), service)


def _accepts_any_server(request: QueuedRequest) -> bool:
    placement = request.slot_request.placement
    return placement.repeatable and not placement.excluded and placement.regions is None


def _make_evicted_result(
    evicted: QueuedRequest, new: QueuedRequest, retry_after_s: float
) -> NotPlaced:
    old_request, new_request = evicted.slot_request, new.slot_request
    if old_request.organisation == new_request.organisation:
        reason = (
            f"the queue is full; this request of priority {old_request.priority} gave "
            f"way to one of priority {new_request.priority} whose loss costs more"
        )
    else:
        reason = "the queue is full, mostly with requests of this organisation"
    return NotPlaced(reason=reason, retry_after_s=retry_after_s)
