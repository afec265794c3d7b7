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
    FAR_DELAY_S,
    HOSTS,
    MAX_ATTEMPTS,
    NEAR_DELAY_S,
    QUEUE_BOUND,
    RETRY_SHARE,
    SERVER_QUEUE,
    SERVERS,
    SERVICE,
    SERVICE_S,
    SERVICE_SIGMA,
    SLOTS,
    SLOW_FACTOR,
    AnyServer,
    Plan,
    Product,
    TwoByOwn,
    TwoByReport,
)

__all__ = ["Fleet"]


@define(kw_only=True, eq=False)
class Server:
    """Hold the slots and the short queue of one server."""

    rule: ServerRule
    slow: bool = False
    busy: int = 0
    waiting: list["Attempt"] = field(factory=list)


@define(kw_only=True, eq=False)
class Call:
    """Follow one request of a caller."""

    organisation: int
    host: "HostState"
    born_s: float
    tried: frozenset[ServerId] = frozenset()
    tag: float | None = None
    attempts: int = 0
    open_attempts: int = 0
    done: bool = False


@define(kw_only=True, eq=False)
class Attempt:
    """Follow one attempt of a request."""

    call: Call
    server: Server
    sent_s: float


@define(kw_only=True, eq=False)
class HostState:
    """Hold what one host knows."""

    domain: DomainName
    loads: ServerLoads = field(factory=ServerLoads)
    queues: RequestQueues = field(factory=RequestQueues)
    waiting: dict[int, Call] = field(factory=dict)
    budget: RetryBudget = field(factory=RetryBudget)
    wake_s: float = inf


@define(kw_only=True, eq=False)
class Fleet:
    """Run one plan and collect what happened."""

    plan: Plan
    now_s: float = 0.0
    attempts: int = 0
    conflicts: int = 0
    sheds: int = 0
    asked: list[int] = field(factory=list)
    latencies: list[list[float]] = field(factory=list)
    rng: Random = field(init=False)
    servers: dict[ServerId, Server] = field(init=False)
    subset: ServerSubset = field(init=False)
    hosts: list[HostState] = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: Iterator[int] = field(factory=count)

    def __attrs_post_init__(self) -> None:
        """Build hosts and servers."""
        self.rng = Random(self.plan.seed)
        self.servers = {one.rule.server: one for one in map(_server, range(SERVERS))}
        for one in list(self.servers.values())[: self.plan.slow_servers]:
            one.slow = True
        members = tuple(SubsetMember(rule=one.rule) for one in self.servers.values())
        self.subset = ServerSubset(
            service=SERVICE, members=members, slots=SLOTS, in_flight_cap=SLOTS
        )
        self.hosts = [HostState(domain=_domain(number)) for number in range(HOSTS)]
        self.asked = [0] * len(self.plan.rates)
        self.latencies = [[] for _ in self.plan.rates]

    def run(self) -> "Fleet":
        """Play the plan to its end."""
        for organisation in range(len(self.plan.rates)):
            self._arrive_next(organisation)
        while self._events:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        return self

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), act))

    def _arrive_next(self, organisation: int) -> None:
        wait_s = self.rng.expovariate(self.plan.rates[organisation])
        if self.now_s + wait_s < self.plan.seconds:
            self._at(wait_s, lambda: self._arrive(organisation))

    def _arrive(self, organisation: int) -> None:
        self._arrive_next(organisation)
        self.asked[organisation] += 1
        host = self.rng.choice(self.hosts)
        host.budget = earn_retry(
            host.budget,
            RETRY_SHARE,
            max_balance=max_balance_per_host(HOSTS),
            now_s=self.now_s,
        )
        call = Call(organisation=organisation, host=host, born_s=self.now_s)
        self._start(call)

    def _start(self, call: Call) -> None:
        match self.plan.policy:
            case Product():
                self._enqueue(call)
            case AnyServer() | TwoByOwn() | TwoByReport() as policy:
                self._send(call, self._pick(policy, call))

    def _pick(self, policy: AnyServer | TwoByOwn | TwoByReport, call: Call) -> ServerId:
        pair = self.rng.sample(
            [one for one in self.servers if one not in call.tried], 2
        )
        loads = call.host.loads
        match policy:
            case AnyServer():
                return pair[0]
            case TwoByOwn():
                return min(pair, key=lambda one: load_of(loads, one).in_flight)
            case TwoByReport():
                return min(pair, key=lambda one: _last_report(load_of(loads, one)))

    def _enqueue(self, call: Call) -> None:
        host = call.host
        joined = enqueue(
            host.queues,
            self._wanted(call),
            max_queued=QUEUE_BOUND,
            in_flight=service_load_of(host.loads, SERVICE).in_flight,
            service_s=service_load_of(host.loads, SERVICE).mean_service_s,
            now_s=self.now_s,
        )
        if isinstance(joined, Enqueued):
            host.queues = joined.queues
            host.waiting[joined.request.ticket] = call
            if joined.evicted is not None:
                del host.waiting[joined.evicted.ticket]
            self._dispatch(host)

    def _wanted(self, call: Call) -> SlotRequest:
        name = f"organisation-{call.organisation}" if self._is_fair() else "all"
        return SlotRequest(
            service=SERVICE,
            organisation=OrganisationName(name),
            placement=Placement(
                domain=call.host.domain, excluded=call.tried, repeatable=True
            ),
            deadline_at_s=call.born_s + DEADLINE_S,
            tag=call.tag,
        )

    def _is_fair(self) -> bool:
        return self.plan.policy == Product(fair=True)

    def _dispatch(self, host: HostState) -> None:
        for waiter in get_queue(host.queues, SERVICE).queued:
            if waiter.slot_request.deadline_at_s < self.now_s + SERVICE_S:
                host.queues = remove_request(host.queues, waiter.ticket)
                del host.waiting[waiter.ticket]
                continue
            match self._choose(host, waiter.slot_request.placement):
                case Chosen(server=server):
                    host.queues = dequeue(host.queues, waiter)
                    call = host.waiting.pop(waiter.ticket)
                    call.tag = waiter.tag
                    self._send(call, server)
                case ServersBusy(free_at_s=free_at_s):
                    self._wake_at(host, free_at_s)
                    break
                case _:
                    host.queues = remove_request(host.queues, waiter.ticket)
                    del host.waiting[waiter.ticket]

    def _choose(self, host: HostState, placement: Placement) -> object:
        return choose_server(
            self.subset,
            host.loads,
            ServerStates(),
            placement,
            now_s=self.now_s,
            rng=self.rng,
        )

    def _wake_at(self, host: HostState, at_s: float) -> None:
        if at_s < host.wake_s:
            host.wake_s = at_s
            self._at(max(0.0, at_s - self.now_s) + 1e-6, lambda: self._wake(host))

    def _wake(self, host: HostState) -> None:
        host.wake_s = inf
        self._dispatch(host)

    def _send(self, call: Call, server_id: ServerId) -> None:
        host, server = call.host, self.servers[server_id]
        host.loads = reserve_server(host.loads, server_id)
        call.tried |= {server_id}
        call.attempts += 1
        call.open_attempts += 1
        self.attempts += 1
        attempt = Attempt(call=call, server=server, sent_s=self.now_s)
        self._at(_delay_s(host, server), lambda: self._reach(attempt))
        if call.attempts == 1 and self.plan.hedge_after_s < inf:
            self._at(self.plan.hedge_after_s, lambda: self._hedge(call))

    def _hedge(self, call: Call) -> None:
        host = call.host
        placement = Placement(domain=host.domain, excluded=call.tried, repeatable=True)
        chosen = self._choose(host, placement)
        if call.done or call.open_attempts != 1 or not isinstance(chosen, Chosen):
            return
        spent = spend_retry(host.budget, self.now_s)
        if isinstance(spent, RetryBudget):
            host.budget = spent
            self._send(call, chosen.server)

    def _reach(self, attempt: Attempt) -> None:
        server = attempt.server
        if server.busy < SLOTS:
            self._serve(attempt)
            return
        self.conflicts += 1
        if len(server.waiting) < SERVER_QUEUE:
            server.waiting.append(attempt)
            return
        self.sheds += 1
        self._answer(attempt, ShedByServer(retry_after_s=0.05, load=_report(server)))

    def _serve(self, attempt: Attempt) -> None:
        attempt.server.busy += 1
        mu = np.log(SERVICE_S) - SERVICE_SIGMA**2 / 2
        work_s = self.rng.lognormvariate(mu, SERVICE_SIGMA)
        if attempt.server.slow:
            work_s *= SLOW_FACTOR
        self._at(work_s, lambda: self._finish(attempt))

    def _finish(self, attempt: Attempt) -> None:
        server = attempt.server
        server.busy -= 1
        if server.waiting:
            self._serve(server.waiting.pop(0))
        report = _report(server)
        answer = Answered(status=200, headers=(), body=b"", load=report)
        self._answer(attempt, answer)

    def _answer(self, attempt: Attempt, result: BackendResult) -> None:
        delay_s = _delay_s(attempt.call.host, attempt.server)
        self._at(delay_s, lambda: self._receive(attempt, result))

    def _receive(self, attempt: Attempt, result: BackendResult) -> None:
        call, host = attempt.call, attempt.call.host
        call.open_attempts -= 1
        host.loads = release_server(
            host.loads,
            attempt.server.rule.server,
            result,
            started_s=attempt.sent_s,
            now_s=self.now_s,
        )
        match result:
            case Answered() if not call.done:
                call.done = True
                took_s = self.now_s - call.born_s
                if took_s <= DEADLINE_S:
                    self.latencies[call.organisation].append(took_s)
            case ShedByServer() if call.attempts < MAX_ATTEMPTS:
                spent = spend_retry(host.budget, self.now_s)
                if isinstance(spent, RetryBudget):
                    host.budget = spent
                    self._start(call)
        self._dispatch(host)


def _domain(number: int) -> DomainName:
    return DomainName(f"domain-{number % DOMAINS}")


def _server(number: int) -> Server:
    address = Address(ip="127.0.0.2", port=number + 1)
    server = ServerId(service=SERVICE, address=address)
    rule = ServerRule(server=server, domain=_domain(number), asked_by="a benchmark")
    return Server(rule=rule)


def _last_report(load: ServerLoad) -> int:
    return load.in_flight + load.others_busy


def _report(server: Server) -> ReportedLoad:
    return ReportedLoad(busy=server.busy, slots=SLOTS)


def _delay_s(host: HostState, server: Server) -> float:
    return NEAR_DELAY_S if host.domain == server.rule.domain else FAR_DELAY_S
