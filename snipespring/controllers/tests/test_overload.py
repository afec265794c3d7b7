"""Check what hosts do with what they know of the fleet's demand."""

from random import Random

from attrs import evolve
from immutables import Map

from snipespring.blackboard.regions import (
    CONFIGURATION,
    EVIDENCE,
    FLEET_VIEW,
    SERVER_LOADS,
    SERVER_STATES,
)
from snipespring.controllers import (
    Canceller,
    EventRecorder,
    MetricsRecorder,
    SuspicionTracker,
)
from snipespring.controllers.dispatcher import Dispatcher
from snipespring.controllers.sender import Delivery, Sender
from snipespring.decisions.health import record_attempt_end, record_attempt_start
from snipespring.decisions.suspicion import risk_of
from snipespring.records import (
    AnswerLate,
    BackendResult,
    Configuration,
    DemandCounts,
    FleetView,
    HostId,
    NotRun,
    OutcomeNotification,
    Ran,
    ReportedLoad,
    RetryBound,
    RouteLoad,
    RunIdempotent,
    ServerId,
    ServerRule,
    ServiceDemand,
    ServiceLoad,
    ShedByServer,
)
from snipespring.utils import ManualClock

from .routing_fakes import (
    LOCAL_DOMAIN,
    SERVICE,
    ScriptedTransport,
    make_admitted_request,
    make_board,
    make_server_id,
)

SHED = ShedByServer(retry_after_s=None, load=ReportedLoad(busy=1, slots=3))


def make_sender(results: list[BackendResult], demand: DemandCounts) -> Sender:
    board, clock = make_board(4, cap=64), ManualClock()
    rules = tuple(
        ServerRule(server=make_server_id(n), domain=LOCAL_DOMAIN, asked_by="a test")
        for n in range(4)
    )
    cfg = Configuration(version=1, servers=Map({SERVICE.name: rules}))
    board.write(CONFIGURATION, cfg, writer="configurator")
    view = FleetView(
        heard_hosts=10,
        as_of_s=clock.monotonic_s(),
        demand=Map({SERVICE.name: ServiceDemand(service=SERVICE.name, counts=demand)}),
    )
    board.write(FLEET_VIEW, view, writer="domain_link")
    transport = ScriptedTransport(results=results)
    return Sender(
        board=board,
        clock=clock,
        rng=Random(1),
        transport=transport,
        canceller=Canceller(board=board, clock=clock, transport=transport),
        dispatcher=Dispatcher(board=board, clock=clock, rng=Random(1), max_queued=64),
        metrics=MetricsRecorder(board=board),
        domain=LOCAL_DOMAIN,
        pause=clock.advance,
    )


def deliver(sender: Sender, priority: int, retries: RetryBound | None) -> Delivery:
    admitted = make_admitted_request(RunIdempotent(), 1010.0)
    admitted = evolve(admitted, route=evolve(admitted.route, priority=priority))
    service = evolve(SERVICE, retry_bound=retries)
    return sender.deliver(service, admitted, lambda: False)


def test_least_urgent_requests_are_refused_with_the_figures_of_the_fleet() -> None:
    """Guard against refusals of urgent requests, and against unexplained ones."""
    full = DemandCounts(
        offered_ms=(12000, 0, 0, 0, 60000, 0), slots=30, used_slots=30, waiting=40
    )
    sender = make_sender([], full)
    loads = sender.board.read(SERVER_LOADS)
    work = RouteLoad(answer_s=0.2, work_s=0.2)
    load = ServiceLoad(mean_service_s=0.2, by_route=Map({"POST /": work}))
    loads = evolve(loads, by_service=Map({SERVICE.name: load}))
    sender.board.write(SERVER_LOADS, loads, writer="dispatcher")
    urgent = [deliver(sender, 0, None) for _ in range(40)]
    others = [deliver(sender, 2, None) for _ in range(40)]
    assert all(isinstance(found.reply.outcome, Ran) for found in urgent)
    refused = [found for found in others if found.rule == "overload"]
    assert 25 <= len(refused) <= 39
    for found in refused:
        match found.reply.outcome:
            case NotRun(reason=reason, retry_after_s=retry_after_s):
                assert "slots wanted on all hosts, 12 exist, 100% in use" in reason
                assert retry_after_s is not None and retry_after_s > 0.0
            case other:
                raise AssertionError(other)


def test_retries_follow_the_budget_of_the_fleet_while_the_view_is_fresh() -> None:
    """Guard against a host that refuses although the other hosts left retries."""
    bound = RetryBound(share=0.2, slack=160.0, window_s=10.0)
    played = {}
    for sent in (0, 300):
        demand = DemandCounts(firsts=(500,), retries=(0, 0, sent))
        late: list[BackendResult] = [AnswerLate(waited_s=0.1)] * 3
        sender = make_sender(late * 4, demand)
        transport = sender.transport
        assert isinstance(transport, ScriptedTransport)
        for _ in range(4):
            deliver(sender, 0, bound)
        played[sent] = len(transport.sent)
    assert played == {0: 12, 300: 4}


def test_a_server_that_sheds_alone_with_free_slots_becomes_suspected() -> None:
    """Guard against a gray server that refuses, and against blaming a whole service."""
    for shedding, is_blamed in ((1, True), (8, False)):
        tracker, notices = make_tracker(12)
        for number in range(shedding):
            for _ in range(2):
                shed(tracker, make_instance(number))
        states = tracker.board.read(SERVER_STATES)
        now_s = tracker.clock.monotonic_s()
        risks = [
            risk_of(states, make_instance(number), now_s=now_s)
            for number in range(shedding)
        ]
        assert (risks[-1] > 0.5) == is_blamed
        assert all(notice.is_idle_shed for notice in notices)
        assert len(notices) <= 8


def make_instance(number: int) -> ServerId:
    return evolve(make_server_id(number), instance=f"s-{number}")


def make_tracker(servers: int) -> tuple[SuspicionTracker, list[OutcomeNotification]]:
    board, notices = make_board(servers), list[OutcomeNotification]()
    rules = tuple(
        ServerRule(server=make_instance(n), domain=LOCAL_DOMAIN, asked_by="a test")
        for n in range(servers)
    )
    cfg = Configuration(version=1, servers=Map({SERVICE.name: rules}))
    board.write(CONFIGURATION, cfg, writer="configurator")
    tracker = SuspicionTracker(
        board=board,
        clock=ManualClock(),
        event_recorder=EventRecorder(board=board),
        metrics=MetricsRecorder(board=board),
        host_id=HostId("host"),
        domain=LOCAL_DOMAIN,
        broadcast_outcome=notices.append,
    )
    return tracker, notices


def shed(tracker: SuspicionTracker, server: ServerId) -> None:
    now_s = tracker.clock.monotonic_s()
    for change in (
        lambda evidence: record_attempt_start(evidence, server, "a", now_s),
        lambda evidence: record_attempt_end(evidence, server, "a", SHED, now_s),
    ):
        tracker.board.update(EVIDENCE, change, writer="sender")
    tracker.step()
