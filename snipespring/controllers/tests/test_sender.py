import threading
from random import Random

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.blackboard.regions import HOST_FEED, RETRY_BUDGETS, SERVER_LOADS
from snipespring.controllers import Canceller, MetricsRecorder
from snipespring.controllers.dispatcher import Dispatcher
from snipespring.controllers.sender import Sender
from snipespring.decisions.retries import max_balance_per_host
from snipespring.decisions.routing import load_of
from snipespring.records import (
    Address,
    AnswerBroken,
    Answered,
    AnswerLate,
    BackendRequest,
    BackendResult,
    ConnectFailed,
    FeedView,
    HostId,
    NotRun,
    PublishedHost,
    Ran,
    Reply,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    SendBroken,
    ServerId,
    ShedByServer,
    Unknown,
)
from snipespring.utils import ManualClock

from .routing_fakes import (
    LOCAL_DOMAIN,
    OK,
    SERVICE,
    ScriptedTransport,
    make_admitted_request,
    make_board,
    make_server_id,
)

HOST = PublishedHost(
    host_id=HostId("host"),
    domain=LOCAL_DOMAIN,
    callers=Address(ip="10.0.0.1", port=1),
    peers=Address(ip="10.0.0.1", port=2),
)
POSSIBLE_RESULTS: list[BackendResult] = [
    OK,
    Answered(status=503, headers=(), body=b""),
    ShedByServer(retry_after_s=None),
    ConnectFailed(reason="refused"),
    SendBroken(reason="reset"),
    AnswerLate(waited_s=0.5),
    AnswerBroken(reason="short"),
]
NOT_EXECUTED_RESULTS = (ShedByServer, ConnectFailed)
RUN_POLICIES: list[RunPolicy] = [RunIdempotent(), RunOnce(), RunAsUpload()]


def make_sender(results: list[BackendResult], servers: int = 4) -> Sender:
    board, clock = make_board(servers, cap=3), ManualClock()
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


@given(
    results=st.lists(st.sampled_from(POSSIBLE_RESULTS), max_size=6),
    run=st.sampled_from(RUN_POLICIES),
)
def test_reply_matches_the_results_of_all_attempts(
    results: list[BackendResult], run: RunPolicy
) -> None:
    sender = make_sender(list(results))
    transport = sender.transport
    assert isinstance(transport, ScriptedTransport)
    reply = sender.deliver(
        SERVICE, make_admitted_request(run, 1010.0), lambda: False
    ).reply
    sent = len(transport.sent)
    returned = (results + [OK] * 20)[:sent]
    match reply.outcome:
        case NotRun():
            assert all(isinstance(result, NOT_EXECUTED_RESULTS) for result in returned)
        case Unknown():
            assert not any(isinstance(result, Answered) for result in returned)
        case Ran():
            assert reply.status in [
                result.status for result in returned if isinstance(result, Answered)
            ]
    if isinstance(run, RunOnce):
        assert all(isinstance(result, NOT_EXECUTED_RESULTS) for result in returned[:-1])
    loads = sender.board.read(SERVER_LOADS)
    assert all(load_of(loads, make_server_id(n)).in_flight == 0 for n in range(4))


def test_retries_in_an_outage_stay_within_share_and_reserve() -> None:
    failures: list[BackendResult] = [AnswerLate(waited_s=0.5)] * 5000
    sender = make_sender(failures)
    transport = sender.transport
    assert isinstance(transport, ScriptedTransport)
    for _ in range(1000):
        sender.deliver(
            SERVICE, make_admitted_request(RunIdempotent(), 1010.0), lambda: False
        )
    assert len(transport.sent) <= 1000 * (
        1 + SERVICE.retry_share
    ) + max_balance_per_host(1)


def test_upload_is_retried_until_a_server_stores_it() -> None:
    sender = make_sender([])
    for _ in range(40):
        sender.deliver(SERVICE, make_admitted_request(RunOnce(), 1010.0), lambda: False)
    failures: list[BackendResult] = [AnswerLate(waited_s=1.0), POSSIBLE_RESULTS[1]]
    transport = sender.transport
    assert isinstance(transport, ScriptedTransport)
    transport.results, transport.sent = failures, []
    reply = sender.deliver(
        SERVICE, make_admitted_request(RunAsUpload(), 1010.0), lambda: False
    ).reply
    assert (reply.status, reply.outcome) == (200, Ran())
    assert len(transport.sent) == 3
    servers = [server_id for server_id, _ in transport.sent]
    assert servers[0] != servers[1] != servers[2]


def test_nothing_is_sent_for_a_disconnected_caller() -> None:
    sender = make_sender([])
    reply = sender.deliver(
        SERVICE, make_admitted_request(RunOnce(), 1010.0), lambda: True
    ).reply
    assert isinstance(reply.outcome, NotRun)
    transport = sender.transport
    assert isinstance(transport, ScriptedTransport)
    assert transport.sent == []


def test_no_retry_after_the_caller_disconnects() -> None:
    sender = make_sender([AnswerLate(waited_s=0.5)] * 3)
    transport = sender.transport
    assert isinstance(transport, ScriptedTransport)
    reply = sender.deliver(
        SERVICE,
        make_admitted_request(RunIdempotent(), 1010.0),
        lambda: bool(transport.sent),
    ).reply
    assert len(transport.sent) == 1
    assert isinstance(reply.outcome, Unknown)
    loads = sender.board.read(SERVER_LOADS)
    assert load_of(loads, transport.sent[0][0]).failures == 0


def test_nothing_is_sent_after_the_permission_expired() -> None:
    sender = make_sender([])
    request = make_admitted_request(RunOnce(), 1010.0)
    reply = sender.deliver(SERVICE, request, lambda: False, lambda: False).reply
    assert isinstance(reply.outcome, NotRun)
    transport = sender.transport
    assert isinstance(transport, ScriptedTransport)
    assert transport.sent == []


def test_unreachable_servers_use_up_neither_attempts_nor_budget() -> None:
    unreachable: list[BackendResult] = [ConnectFailed(reason="timed out")] * 2
    sender = make_sender([*unreachable, ShedByServer(retry_after_s=None)])
    request = make_admitted_request(RunOnce(), 1010.0)
    request = evolve(request, route=evolve(request.route, max_attempts=2))
    reply = sender.deliver(SERVICE, request, lambda: False).reply
    assert isinstance(reply.outcome, Ran)
    budget = sender.board.read(RETRY_BUDGETS).by_service[SERVICE.name]
    assert budget.allowed < 1.0


def test_fleet_wide_reserve_is_split_among_the_hosts() -> None:
    failures: list[BackendResult] = [AnswerLate(waited_s=0.5)] * 500
    sender = make_sender(failures)
    transport = sender.transport
    assert isinstance(transport, ScriptedTransport)
    hosts = Map({f"host-{number}": HOST for number in range(40)})
    sender.board.write(HOST_FEED, FeedView(items=hosts), writer="host_feed")
    service = evolve(SERVICE, retry_share=0.16, retry_reserve=44.0)
    for _ in range(100):
        sender.deliver(
            service, make_admitted_request(RunIdempotent(), 1010.0), lambda: False
        )
    assert len(transport.sent) - 100 <= 100 * 0.16 + 44.0 / 40 + 1


def test_two_requests_with_one_id_are_both_answered() -> None:
    both_sent = threading.Barrier(2)
    replies: list[Reply] = []

    class WaitingTransport(ScriptedTransport):
        def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
            both_sent.wait(10.0)
            return super().send(server, attempt)

    sender = make_sender([])
    sender.transport = WaitingTransport(results=[OK, OK])

    def deliver() -> None:
        admitted = make_admitted_request(RunOnce(), 1010.0)
        replies.append(sender.deliver(SERVICE, admitted, lambda: False).reply)

    threads = [threading.Thread(target=deliver) for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20.0)
    assert [reply.status for reply in replies] == [200, 200]
