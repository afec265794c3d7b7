"""Play requests through the decision code of many hosts in virtual time."""

import heapq
from collections.abc import Callable, Iterator
from itertools import count
from math import inf
from random import Random

import numpy as np
from attrs import define, field

from snipespring.decisions.queueing import (
    Enqueued,
    dequeue,
    enqueue,
    get_queue,
    remove_request,
)
from snipespring.decisions.retries import earn_retry, max_balance_per_host, spend_retry
from snipespring.decisions.routing import (
    Chosen,
    ServersBusy,
    choose_server,
    load_of,
    release_server,
    reserve_server,
    service_load_of,
)
from snipespring.records import (
    Address,
    Answered,
    BackendResult,
    DomainName,
    OrganisationName,
    Placement,
    ReportedLoad,
    RequestQueues,
    RetryBudget,
    ServerId,
    ServerLoad,
    ServerLoads,
    ServerRule,
    ServerStates,
    ServerSubset,
    ShedByServer,
    SlotRequest,
    SubsetMember,
)

from .routing_plans import (
    DEADLINE_S,
    DOMAINS,
    HOSTS,
    LOCAL_DELAY_S,
    MAX_ATTEMPTS,
    MAX_QUEUED,
    MEAN_SERVICE_S,
    REMOTE_DELAY_S,
    RETRY_FRACTION,
    SERVER_QUEUE_LENGTH,
    SERVERS,
    SERVICE,
    SERVICE_SIGMA,
    SLOTS,
    SLOW_FACTOR,
    Plan,
    ProjectRouting,
    RandomServer,
    TwoByLocalLoad,
    TwoByReportedLoad,
)

__all__ = ["Fleet"]


@define(kw_only=True, eq=False)
class Server:
    """Hold the slots and the short queue of one server."""

    rule: ServerRule
    is_slow: bool = False
    busy: int = 0
    queued: list["Attempt"] = field(factory=list)


@define(kw_only=True, eq=False)
class CallerRequest:
    """Follow one request of a caller."""

    organisation: int
    host: "HostState"
    arrived_at_s: float
    tried: frozenset[ServerId] = frozenset()
    queue_tag: float | None = None
    attempts: int = 0
    open_attempt_count: int = 0
    is_done: bool = False


@define(kw_only=True, eq=False)
class Attempt:
    """Follow one attempt of a request."""

    request: CallerRequest
    server: Server
    sent_at_s: float


@define(kw_only=True, eq=False)
class HostState:
    """Hold what one host knows."""

    domain: DomainName
    loads: ServerLoads = field(factory=ServerLoads)
    queues: RequestQueues = field(factory=RequestQueues)
    queued: dict[int, CallerRequest] = field(factory=dict)
    budget: RetryBudget = field(factory=RetryBudget)
    next_wake_at_s: float = inf


@define(kw_only=True, eq=False)
class Fleet:
    """Run one plan and collect what happened."""

    plan: Plan
    now_s: float = 0.0
    attempts: int = 0
    conflict_count: int = 0
    shed_count: int = 0
    request_counts: list[int] = field(factory=list)
    latencies_s: list[list[float]] = field(factory=list)
    rng: Random = field(init=False)
    servers: dict[ServerId, Server] = field(init=False)
    subset: ServerSubset = field(init=False)
    hosts: list[HostState] = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _event_numbers: Iterator[int] = field(factory=count)

    def __attrs_post_init__(self) -> None:
        """Build hosts and servers."""
        self.rng = Random(self.plan.seed)
        self.servers = {
            one.rule.server: one for one in map(_make_server, range(SERVERS))
        }
        for one in list(self.servers.values())[: self.plan.slow_server_count]:
            one.is_slow = True
        members = tuple(SubsetMember(rule=one.rule) for one in self.servers.values())
        self.subset = ServerSubset(
            service=SERVICE, members=members, slots=SLOTS, in_flight_cap=SLOTS
        )
        self.hosts = [
            HostState(domain=_make_domain_name(number)) for number in range(HOSTS)
        ]
        self.request_counts = [0] * len(self.plan.rates_per_s)
        self.latencies_s = [[] for _ in self.plan.rates_per_s]

    def run(self) -> "Fleet":
        """Play the plan to its end."""
        for organisation in range(len(self.plan.rates_per_s)):
            self._schedule_arrival(organisation)
        while self._events:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        return self

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now_s + delay_s, next(self._event_numbers), action)
        )

    def _schedule_arrival(self, organisation: int) -> None:
        wait_s = self.rng.expovariate(self.plan.rates_per_s[organisation])
        if self.now_s + wait_s < self.plan.duration_s:
            self._schedule(wait_s, lambda: self._arrive(organisation))

    def _arrive(self, organisation: int) -> None:
        self._schedule_arrival(organisation)
        self.request_counts[organisation] += 1
        host = self.rng.choice(self.hosts)
        host.budget = earn_retry(
            host.budget,
            RETRY_FRACTION,
            max_balance=max_balance_per_host(HOSTS),
            now_s=self.now_s,
        )
        call = CallerRequest(
            organisation=organisation, host=host, arrived_at_s=self.now_s
        )
        self._start(call)

    def _start(self, request: CallerRequest) -> None:
        match self.plan.policy:
            case ProjectRouting():
                self._enqueue(request)
            case RandomServer() | TwoByLocalLoad() | TwoByReportedLoad() as policy:
                self._send(request, self._choose_baseline(policy, request))

    def _choose_baseline(
        self,
        policy: RandomServer | TwoByLocalLoad | TwoByReportedLoad,
        request: CallerRequest,
    ) -> ServerId:
        pair = self.rng.sample(
            [one for one in self.servers if one not in request.tried], 2
        )
        loads = request.host.loads
        match policy:
            case RandomServer():
                return pair[0]
            case TwoByLocalLoad():
                return min(pair, key=lambda one: load_of(loads, one).in_flight)
            case TwoByReportedLoad():
                return min(
                    pair, key=lambda one: _get_reported_load(load_of(loads, one))
                )

    def _enqueue(self, request: CallerRequest) -> None:
        host = request.host
        joined = enqueue(
            host.queues,
            self._make_slot_request(request),
            max_queued=MAX_QUEUED,
            in_flight=service_load_of(host.loads, SERVICE).in_flight,
            service_s=service_load_of(host.loads, SERVICE).mean_service_s,
            now_s=self.now_s,
        )
        if isinstance(joined, Enqueued):
            host.queues = joined.queues
            host.queued[joined.request.ticket] = request
            if joined.evicted is not None:
                del host.queued[joined.evicted.ticket]
            self._dispatch(host)

    def _make_slot_request(self, request: CallerRequest) -> SlotRequest:
        name = f"organisation-{request.organisation}" if self._is_fair() else "all"
        return SlotRequest(
            service=SERVICE,
            organisation=OrganisationName(name),
            placement=Placement(
                domain=request.host.domain, excluded=request.tried, repeatable=True
            ),
            deadline_at_s=request.arrived_at_s + DEADLINE_S,
            tag=request.queue_tag,
        )

    def _is_fair(self) -> bool:
        return self.plan.policy == ProjectRouting(fair=True)

    def _dispatch(self, host: HostState) -> None:
        for waiter in get_queue(host.queues, SERVICE).queued:
            if waiter.slot_request.deadline_at_s < self.now_s + MEAN_SERVICE_S:
                host.queues = remove_request(host.queues, waiter.ticket)
                del host.queued[waiter.ticket]
                continue
            match self._choose(host, waiter.slot_request.placement):
                case Chosen(server=server):
                    host.queues = dequeue(host.queues, waiter)
                    call = host.queued.pop(waiter.ticket)
                    call.queue_tag = waiter.tag
                    self._send(call, server)
                case ServersBusy(free_at_s=free_at_s):
                    self._schedule_wake(host, free_at_s)
                    break
                case _:
                    host.queues = remove_request(host.queues, waiter.ticket)
                    del host.queued[waiter.ticket]

    def _choose(self, host: HostState, placement: Placement) -> object:
        return choose_server(
            self.subset,
            host.loads,
            ServerStates(),
            placement,
            now_s=self.now_s,
            rng=self.rng,
        )

    def _schedule_wake(self, host: HostState, at_s: float) -> None:
        if at_s < host.next_wake_at_s:
            host.next_wake_at_s = at_s
            self._schedule(max(0.0, at_s - self.now_s) + 1e-6, lambda: self._wake(host))

    def _wake(self, host: HostState) -> None:
        host.next_wake_at_s = inf
        self._dispatch(host)

    def _send(self, request: CallerRequest, server_id: ServerId) -> None:
        host, server = request.host, self.servers[server_id]
        host.loads = reserve_server(host.loads, server_id)
        request.tried |= {server_id}
        request.attempts += 1
        request.open_attempt_count += 1
        self.attempts += 1
        attempt = Attempt(request=request, server=server, sent_at_s=self.now_s)
        self._schedule(_get_delay_s(host, server), lambda: self._reach_server(attempt))
        if request.attempts == 1 and self.plan.hedge_after_s < inf:
            self._schedule(self.plan.hedge_after_s, lambda: self._hedge(request))

    def _hedge(self, request: CallerRequest) -> None:
        host = request.host
        placement = Placement(
            domain=host.domain, excluded=request.tried, repeatable=True
        )
        chosen = self._choose(host, placement)
        if (
            request.is_done
            or request.open_attempt_count != 1
            or not isinstance(chosen, Chosen)
        ):
            return
        spent = spend_retry(host.budget, self.now_s)
        if isinstance(spent, RetryBudget):
            host.budget = spent
            self._send(request, chosen.server)

    def _reach_server(self, attempt: Attempt) -> None:
        server = attempt.server
        if server.busy < SLOTS:
            self._start_work(attempt)
            return
        self.conflict_count += 1
        if len(server.queued) < SERVER_QUEUE_LENGTH:
            server.queued.append(attempt)
            return
        self.shed_count += 1
        self._send_answer(
            attempt, ShedByServer(retry_after_s=0.05, load=_make_load_report(server))
        )

    def _start_work(self, attempt: Attempt) -> None:
        attempt.server.busy += 1
        mu = np.log(MEAN_SERVICE_S) - SERVICE_SIGMA**2 / 2
        work_s = self.rng.lognormvariate(mu, SERVICE_SIGMA)
        if attempt.server.is_slow:
            work_s *= SLOW_FACTOR
        self._schedule(work_s, lambda: self._finish_work(attempt))

    def _finish_work(self, attempt: Attempt) -> None:
        server = attempt.server
        server.busy -= 1
        if server.queued:
            self._start_work(server.queued.pop(0))
        report = _make_load_report(server)
        answer = Answered(status=200, headers=(), body=b"", load=report)
        self._send_answer(attempt, answer)

    def _send_answer(self, attempt: Attempt, result: BackendResult) -> None:
        delay_s = _get_delay_s(attempt.request.host, attempt.server)
        self._schedule(delay_s, lambda: self._receive(attempt, result))

    def _receive(self, attempt: Attempt, result: BackendResult) -> None:
        call, host = attempt.request, attempt.request.host
        call.open_attempt_count -= 1
        host.loads = release_server(
            host.loads,
            attempt.server.rule.server,
            result,
            started_s=attempt.sent_at_s,
            now_s=self.now_s,
        )
        match result:
            case Answered() if not call.is_done:
                call.is_done = True
                took_s = self.now_s - call.arrived_at_s
                if took_s <= DEADLINE_S:
                    self.latencies_s[call.organisation].append(took_s)
            case ShedByServer() if call.attempts < MAX_ATTEMPTS:
                spent = spend_retry(host.budget, self.now_s)
                if isinstance(spent, RetryBudget):
                    host.budget = spent
                    self._start(call)
        self._dispatch(host)


def _make_domain_name(number: int) -> DomainName:
    return DomainName(f"domain-{number % DOMAINS}")


def _make_server(number: int) -> Server:
    address = Address(ip="127.0.0.2", port=number + 1)
    server = ServerId(service=SERVICE, address=address)
    rule = ServerRule(
        server=server, domain=_make_domain_name(number), asked_by="a benchmark"
    )
    return Server(rule=rule)


def _get_reported_load(load: ServerLoad) -> int:
    return load.in_flight + load.others_busy


def _make_load_report(server: Server) -> ReportedLoad:
    return ReportedLoad(busy=server.busy, slots=SLOTS)


def _get_delay_s(host: HostState, server: Server) -> float:
    return LOCAL_DELAY_S if host.domain == server.rule.domain else REMOTE_DELAY_S
