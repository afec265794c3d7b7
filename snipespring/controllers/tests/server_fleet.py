"""Play the requests of many hosts to the servers of one service, in virtual time."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from math import inf
from random import Random

from attrs import define, field, frozen
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    ANSWER_LOG,
    CONFIGURATION,
    EVIDENCE,
    FLEET_VIEW,
    SERVER_SUBSETS,
)
from snipespring.controllers import SuspicionTracker
from snipespring.controllers.dispatcher import Dispatcher, Placed
from snipespring.controllers.historian import EventRecorder
from snipespring.controllers.metrics_recorder import MetricsRecorder
from snipespring.decisions.domains import count_answers_by_server
from snipespring.decisions.health import record_attempt_end, record_attempt_start
from snipespring.records import (
    Address,
    Answered,
    BackendResult,
    Configuration,
    DomainName,
    Evidence,
    FleetView,
    HostId,
    OutcomeNotification,
    Placement,
    ReportedLoad,
    ServerId,
    ServerNotices,
    ServerRule,
    ServerSubset,
    ServerSubsets,
    ServiceName,
    SlotRequest,
    SubsetMember,
)
from snipespring.utils import ManualClock

SERVICE = ServiceName("ledger")
DOMAINS = (DomainName("a"), DomainName("b"), DomainName("c"))
SLOTS = 3
SERVICE_S = 0.24
NOTICE_DELAY_S = 0.01
REPORT_INTERVAL_S = 0.25


@frozen(kw_only=True)
class Fault:
    """Let servers fail a share of their requests for some time."""

    servers: frozenset[int]
    start_s: float
    end_s: float
    ratio: float


@frozen(kw_only=True)
class Arrival:
    """Record a request that reached a server, and whether it was served.

    `told_s` is when its host was first told the server's limit, None before.
    """

    at_s: float
    server: int
    told_s: float | None
    is_served: bool


@define(kw_only=True, eq=False)
class FleetHost:
    """Hold the controllers of one host that place requests."""

    dispatcher: Dispatcher
    tracker: SuspicionTracker
    domain: DomainName
    told_s: dict[int, float] = field(factory=dict)


@define(kw_only=True, eq=False)
class ServerFleet:
    """Send requests at a mean rate, on all hosts alike; record where they arrive."""

    hosts: int
    servers: int
    rate_per_s: float
    faults: tuple[Fault, ...]
    repeatable: bool
    seed: int
    limits_per_s: Map[int, float] = Map()
    limited_from_s: float = 0.0
    limited_to_s: float = inf
    calling_domains: tuple[DomainName, ...] = DOMAINS
    clock: ManualClock = field(factory=ManualClock)
    arrivals: list[Arrival] = field(factory=list)
    rng: Random = field(init=False)
    members: list[FleetHost] = field(init=False)
    rules: tuple[ServerRule, ...] = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: Iterator[int] = field(factory=count)
    _start_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = Random(self.seed)
        self._start_s = self.clock.monotonic_s()
        self.rules = tuple(make_rule(number) for number in range(self.servers))
        self.members = [self._make_host(number) for number in range(self.hosts)]

    def run(self, duration_s: float) -> None:
        self._schedule(0.0, self._arrive)
        self._schedule(REPORT_INTERVAL_S, self._exchange_reports)
        while self._events and self._events[0][0] < self._start_s + duration_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(at_s - self.clock.monotonic_s())
            action()

    def _now_s(self) -> float:
        return self.clock.monotonic_s() - self._start_s

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        at_s = self.clock.monotonic_s() + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _make_host(self, number: int) -> FleetHost:
        board = Board()
        cfg = Configuration(version=1, servers=Map({SERVICE: self.rules}))
        board.write(CONFIGURATION, cfg, writer="configurator")
        members = tuple(SubsetMember(rule=rule) for rule in self.rules)
        subset = ServerSubset(
            service=SERVICE, members=members, slots=SLOTS, in_flight_cap=SLOTS
        )
        subsets = ServerSubsets(by_service=Map({SERVICE: subset}))
        board.write(SERVER_SUBSETS, subsets, writer="subset_keeper")
        domain = DOMAINS[number % len(DOMAINS)]
        tracker = SuspicionTracker(
            board=board,
            clock=self.clock,
            event_recorder=EventRecorder(board=board),
            metrics=MetricsRecorder(board=board),
            host_id=HostId(f"host-{number}"),
            domain=domain,
            broadcast_outcome=self._broadcast,
        )
        dispatcher = Dispatcher(
            board=board,
            clock=self.clock,
            rng=Random(self.seed + number),
            max_queued=64,
            floor_share=0.7,
        )
        return FleetHost(dispatcher=dispatcher, tracker=tracker, domain=domain)

    def _broadcast(self, outcome: OutcomeNotification) -> None:
        def deliver() -> None:
            for host in self.members:
                if host.tracker.host_id != outcome.sender:
                    host.tracker.receive_outcome(outcome)

        self._schedule(NOTICE_DELAY_S, deliver)

    def _exchange_reports(self) -> None:
        self._schedule(REPORT_INTERVAL_S, self._exchange_reports)
        for domain in DOMAINS:
            hosts = [host for host in self.members if host.domain == domain]
            counts = [self._count_answers(host) for host in hosts]
            total = sum(counts, Counter())
            for host, own in zip(hosts, counts, strict=True):
                view = FleetView(
                    heard_hosts=len(self.members),
                    answers=Map(total - own),
                    as_of_s=self.clock.monotonic_s(),
                )
                host.tracker.board.write(FLEET_VIEW, view, writer="domain_link")

    def _count_answers(self, host: FleetHost) -> Counter[str]:
        log = host.tracker.board.read(ANSWER_LOG)
        now_s = self.clock.monotonic_s()
        answers = count_answers_by_server(log, now_s=now_s)
        return Counter({answer.instance: answer.good for answer in answers})

    def _arrive(self) -> None:
        self._schedule(self.rng.expovariate(self.rate_per_s), self._arrive)
        host = self.rng.choice(
            [host for host in self.members if host.domain in self.calling_domains]
        )
        slot_request = SlotRequest(
            service=SERVICE,
            organisation=None,
            placement=Placement(
                domain=host.domain, repeatable=self.repeatable, local_queue_margin=1
            ),
            deadline_at_s=self.clock.monotonic_s() + 3.0,
        )
        placed = host.dispatcher.place(slot_request)
        assert isinstance(placed, Placed)
        self._send(host, placed.server)

    def _send(self, host: FleetHost, server: ServerId) -> None:
        number, started_s = server.address.port - 1, self.clock.monotonic_s()
        is_served = self.rng.random() >= self._failure_ratio(number)
        self.arrivals.append(
            Arrival(
                at_s=self._now_s(),
                server=number,
                is_served=is_served,
                told_s=host.told_s.get(number),
            )
        )
        load = ReportedLoad(busy=1, slots=SLOTS)
        result = Answered(
            status=200 if is_served else 500,
            headers=(),
            body=b"",
            load=load,
            notices=ServerNotices(limit_per_s=self._limit_of(number)),
        )
        attempt_id = str(next(self._numbers))
        update_evidence(
            host,
            lambda evidence: record_attempt_start(
                evidence, server, attempt_id, started_s
            ),
        )
        delay_s = SERVICE_S if is_served else 0.01
        self._schedule(
            delay_s, lambda: self._finish(host, server, attempt_id, result, started_s)
        )

    def _finish(
        self,
        host: FleetHost,
        server: ServerId,
        attempt_id: str,
        result: BackendResult,
        started_s: float,
    ) -> None:
        now_s = self.clock.monotonic_s()
        if isinstance(result, Answered) and result.notices.limit_per_s is not None:
            host.told_s.setdefault(server.address.port - 1, self._now_s())
        host.dispatcher.release(server, result, started_s=started_s)
        update_evidence(
            host,
            lambda evidence: record_attempt_end(
                evidence, server, attempt_id, result, now_s
            ),
        )
        host.tracker.step()

    def _limit_of(self, server: int) -> float | None:
        is_limited = self.limited_from_s <= self._now_s() < self.limited_to_s
        return self.limits_per_s.get(server) if is_limited else None

    def _failure_ratio(self, server: int) -> float:
        now_s = self._now_s()
        return max(
            (
                fault.ratio
                for fault in self.faults
                if server in fault.servers and fault.start_s <= now_s < fault.end_s
            ),
            default=0.0,
        )


def update_evidence(host: FleetHost, change: Callable[[Evidence], Evidence]) -> None:
    host.tracker.board.update(EVIDENCE, change, writer="sender")


def make_rule(number: int) -> ServerRule:
    address = Address(ip="127.0.0.2", port=number + 1)
    server = ServerId(service=SERVICE, address=address, instance=f"server-{number}")
    return ServerRule(
        server=server, domain=DOMAINS[number % len(DOMAINS)], asked_by="a test"
    )
