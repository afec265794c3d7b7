import logging
from contextlib import ExitStack
from unittest.mock import Mock

import pytest
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION,
    EVENTS,
    LEASE,
    SERVER_STATES,
    SERVER_SUBSETS,
    SERVICE_CONCURRENCY,
    STOP_STATE,
)
from snipespring.controllers import (
    Claimant,
    ConcurrencyLimiter,
    EventRecorder,
    Forwarder,
    Limiter,
    MetricsRecorder,
    Sender,
)
from snipespring.decisions.bulkheads import HasRoom
from snipespring.decisions.keys import digest_key
from snipespring.decisions.rules import (
    ParsedRules,
    make_configuration,
    parse_rules,
)
from snipespring.records import (
    Admitted,
    ClaimRefused,
    HandledRequest,
    Header,
    LeaseHeld,
    Leaving,
    NotRun,
    OverLimit,
    Reply,
    Request,
    ServerStates,
    ServerSuspected,
    ServiceName,
    Unknown,
)
from snipespring.utils import ManualClock

from .routing_fakes import SERVICE, make_board, make_server_id

API_KEY = "the-test-key-of-valeters"
THREADS = 9
RULES = f"""
service ledger deadline=9s  # Aoife
server ledger 127.0.0.1:9001 domain=a  # Aoife
route POST /ledger service=ledger run=once  # Aoife
organisation valeters rate=9/s burst=9  # Aoife
key valeters sha256:{digest_key(API_KEY)}  # Aoife
"""


@pytest.fixture
def forwarder() -> Forwarder:
    board = Board()
    return Forwarder(
        board=board,
        clock=ManualClock(),
        event_recorder=EventRecorder(board=board),
        metrics=MetricsRecorder(board=board),
        limiter=Mock(spec=Limiter),
        claimant=Mock(spec=Claimant),
        sender=Mock(spec=Sender),
        concurrency_limiter=ConcurrencyLimiter(board=board, threads=THREADS),
    )


def configure(forwarder: Forwarder) -> None:
    parsed = parse_rules(RULES.encode())
    assert isinstance(parsed, ParsedRules)
    cfg = make_configuration(tuple(parsed_rule.rule for parsed_rule in parsed.rules), 1)
    forwarder.board.write(CONFIGURATION, cfg, writer=CONFIGURATION.writer)
    lease = LeaseHeld(until_s=forwarder.clock.monotonic_s() + 1.0)
    forwarder.board.write(LEASE, lease, writer=LEASE.writer)


def post(
    forwarder: Forwarder, key: str = API_KEY, deadline_s: float | None = None
) -> Reply:
    header = Header(name="Api-Key", value=key)
    request = Request(
        request_id="r1",
        method="POST",
        path="/ledger/x",
        headers=(header,),
        deadline_s=deadline_s,
    )
    return forwarder.handle(request, lambda: False)


def test_host_without_configuration_refuses_with_retry_after(
    forwarder: Forwarder,
) -> None:
    reply = post(forwarder)
    assert reply.status == 503
    assert isinstance(reply.outcome, NotRun)
    assert reply.outcome.retry_after_s is not None


def test_invalid_key_is_refused_without_retry_after(forwarder: Forwarder) -> None:
    configure(forwarder)
    reply = post(forwarder, "another-key-of-nobody")
    assert reply.status == 401
    assert reply.outcome == NotRun(reason="the key is not valid")


def test_route_with_keys_is_refused_after_the_lease_ended(forwarder: Forwarder) -> None:
    configure(forwarder)
    assert isinstance(forwarder.clock, ManualClock)
    forwarder.clock.advance(1.0)
    reply = post(forwarder)
    assert reply.status == 503
    assert reply.outcome == NotRun(reason="the lease ended", retry_after_s=0.2)


@pytest.mark.parametrize(
    ("deadline_s", "stop", "is_begun"),
    [
        (2.0, Leaving(until_s=1002.6), True),
        (2.5, Leaving(until_s=1002.6), True),
        (2.55, Leaving(until_s=1002.6), False),
        (3.0, Leaving(until_s=1002.6), False),
        (3.0, Leaving(until_s=1005.6), True),
        (3.0, Leaving(until_s=1002.6, lenient_until_s=1000.1), True),
        (3.0, Leaving(until_s=1002.6, lenient_until_s=1000.0), False),
        (0.8, Leaving(until_s=1002.6, finished=True), False),
        (0.8, Leaving(until_s=999.0), False),
    ],
)
def test_a_request_that_may_outlast_a_stop_is_refused_before_it_begins(
    forwarder: Forwarder, deadline_s: float, stop: Leaving, is_begun: bool
) -> None:
    # Guards against uploads with 3 s that were taken 2.5 s before the exit of a
    # stopping host and cut there (LOST).
    configure(forwarder)
    begun = OverLimit(reason="begun", retry_after_s=0.1)
    forwarder.limiter.admit.return_value = begun  # type: ignore[attr-defined]
    forwarder.board.write(STOP_STATE, stop, writer=STOP_STATE.writer)
    reply = post(forwarder, deadline_s=deadline_s)
    assert isinstance(reply.outcome, NotRun)
    if is_begun:
        assert reply.outcome.reason == "begun"
        return
    assert (reply.status, reply.outcome.retry_after_s) == (503, 0.2)
    assert reply.outcome.reason.startswith("the host")
    forwarder.limiter.admit.assert_not_called()  # type: ignore[attr-defined]


def test_a_service_that_holds_many_threads_is_refused_before_it_costs_a_rate(
    forwarder: Forwarder,
) -> None:
    # Guards against a service without answers that holds all threads of a host.
    configure(forwarder)
    over = OverLimit(reason="begun", retry_after_s=0.5)
    forwarder.limiter.admit.return_value = over  # type: ignore[attr-defined]
    limiter, ledger = forwarder.concurrency_limiter, ServiceName("ledger")
    with ExitStack() as stack:
        for _ in range(6):
            assert stack.enter_context(limiter.begin(ledger)) == HasRoom()
        reply = post(forwarder)
        assert (reply.status, reply.outcome) == (
            503,
            NotRun(
                reason="service ledger holds 6 of 9 threads, 3 are free",
                retry_after_s=0.2,
            ),
        )
        forwarder.limiter.admit.assert_not_called()  # type: ignore[attr-defined]
        with limiter.begin(ServiceName("histories")) as room:
            assert room == HasRoom()
    assert post(forwarder).status == 429
    assert forwarder.board.read(SERVICE_CONCURRENCY).by_service == Map()


def test_request_over_the_limit_is_never_claimed(forwarder: Forwarder) -> None:
    configure(forwarder)
    over = OverLimit(reason="over 9/s", retry_after_s=0.5)
    forwarder.limiter.admit.return_value = over  # type: ignore[attr-defined]
    reply = post(forwarder)
    assert reply.status == 429
    assert reply.outcome == NotRun(reason="over 9/s", retry_after_s=0.5)
    forwarder.claimant.begin.assert_not_called()  # type: ignore[attr-defined]


def test_refused_claim_gets_the_status_and_outcome_of_the_claimant(
    forwarder: Forwarder,
) -> None:
    configure(forwarder)
    refused = ClaimRefused(outcome=NotRun(reason="another body"), status=422)
    forwarder.limiter.admit.return_value = Admitted()  # type: ignore[attr-defined]
    forwarder.claimant.begin.return_value = refused  # type: ignore[attr-defined]
    reply = post(forwarder)
    assert (reply.status, reply.outcome) == (422, refused.outcome)
    assert forwarder.board.read(EVENTS).latest == ()


def test_unserved_request_logs_which_servers_are_left_out_once_a_second(
    forwarder: Forwarder, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    subsets = make_board(3).read(SERVER_SUBSETS)
    forwarder.board.write(SERVER_SUBSETS, subsets, writer=SERVER_SUBSETS.writer)
    now_s = forwarder.clock.monotonic_s()
    suspected = ServerSuspected(risk=0.9, at_s=now_s)
    states = ServerStates(by_server=Map({make_server_id(1): suspected}))
    forwarder.board.write(SERVER_STATES, states, writer=SERVER_STATES.writer)
    request = Request(request_id="r1", method="POST", path="/")
    failed = Reply(request_id="r1", status=504, outcome=Unknown(reason="late"))
    handled = HandledRequest(reply=failed, rule="attempt", service=SERVICE.name)
    for _ in range(3):
        forwarder.request_log.write(request, handled, started_s=now_s)
    lines = [record for record in caplog.records if record.msg == "servers"]
    assert len(lines) == 1
    assert vars(lines[0])["run_once"] == {"preferred": 2, "avoided": 1}
