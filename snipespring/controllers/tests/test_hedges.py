"""Send requests to servers that hold them without an answer."""

import threading
from random import Random

import pytest
from attrs import define, evolve, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import RETRY_BUDGETS, SERVER_LOADS
from snipespring.controllers import Canceller, MetricsRecorder
from snipespring.controllers.dispatcher import Dispatcher
from snipespring.controllers.sender import Sender
from snipespring.decisions.routing import service_load_of
from snipespring.records import (
    Address,
    AnswerLate,
    BackendRequest,
    BackendResult,
    RetryBudget,
    RetryBudgets,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    ServerId,
)
from snipespring.utils import ManualClock

from .routing_fakes import (
    LOCAL_DOMAIN,
    OK,
    SERVICE,
    make_admitted_request,
    make_board,
)

TIMEOUT_S = 30.0


@define(kw_only=True, eq=False)
class SilentTransport:
    """Hold the first attempt until it is cancelled or let go; answer the others."""

    sent: list[BackendRequest] = field(factory=list)
    is_held: threading.Event = field(factory=threading.Event)
    let_go: threading.Event = field(factory=threading.Event)
    cancelled: list[str] = field(factory=list)
    other_is_held: bool = False
    other_let_go: threading.Event = field(factory=threading.Event)
    # The first cancellation comes before the attempt is known, and has no effect.
    is_early_cancel: bool = False
    ignored: threading.Event = field(factory=threading.Event)

    def send(self, server: ServerId, attempt: BackendRequest) -> BackendResult:
        self.sent.append(attempt)
        if len(self.sent) == 1:
            self.is_held.set()
            assert self.let_go.wait(TIMEOUT_S)
            return self._result_of(attempt)
        if self.other_is_held:
            self.let_go.set()
            assert self.other_let_go.wait(TIMEOUT_S)
        return self._result_of(attempt)

    def cancel(self, attempt_id: str) -> None:
        if self.is_early_cancel and not self.ignored.is_set():
            self.ignored.set()
            return
        self.cancelled.append(attempt_id)
        is_first = attempt_id == self.sent[0].request_id
        (self.let_go if is_first else self.other_let_go).set()

    def keep_only(self, addresses: frozenset[Address]) -> None:
        pass

    def _result_of(self, attempt: BackendRequest) -> BackendResult:
        if attempt.request_id in self.cancelled:
            return AnswerLate(waited_s=0.6)
        return OK


@define(kw_only=True, eq=False)
class Host:
    """Run one sender whose request is under way on a thread of its own."""

    transport: SilentTransport = field(factory=SilentTransport)
    clock: ManualClock = field(factory=ManualClock)
    board: Board = field(factory=lambda: make_board(3))

    def deliver(self, run: RunPolicy, *, retry_share: float) -> int:
        """Return the status of a request that is overdue before it ends."""
        board = self.board
        budget = RetryBudget(allowed=retry_share, at_s=self.clock.now_s)
        budgets = RetryBudgets(by_service=Map({SERVICE.name: budget}))
        board.write(RETRY_BUDGETS, budgets, writer="sender")
        metrics = MetricsRecorder(board=board)
        canceller = Canceller(board=board, clock=self.clock, transport=self.transport)
        sender = Sender(
            board=board,
            clock=self.clock,
            rng=Random(1),
            transport=self.transport,
            dispatcher=Dispatcher(
                board=board, clock=self.clock, rng=Random(1), max_queued=9
            ),
            canceller=canceller,
            metrics=metrics,
            domain=LOCAL_DOMAIN,
        )
        admitted = make_admitted_request(run, self.clock.now_s + 5.0)
        admitted = evolve(admitted, route=evolve(admitted.route, objective_s=1.0))
        service = evolve(SERVICE, retry_share=retry_share)
        statuses: list[int] = []
        thread = threading.Thread(
            target=lambda: statuses.append(
                sender.deliver(service, admitted, lambda: False).reply.status
            )
        )
        thread.start()
        assert self.transport.is_held.wait(TIMEOUT_S)
        self.clock.advance(0.6)
        canceller.step()
        if len(self.transport.sent) == 1 and retry_share == 0.0:
            self.transport.let_go.set()
        if isinstance(run, RunOnce):
            self.transport.let_go.set()
        if self.transport.is_early_cancel:
            assert self.transport.ignored.wait(TIMEOUT_S)
            canceller.step()
        thread.join(TIMEOUT_S)
        return statuses[0]


def test_second_attempt_answers_for_a_server_that_stays_silent() -> None:
    # Guards against losing idempotent requests to servers that accept and never answer.
    host = Host()
    assert host.deliver(RunIdempotent(), retry_share=1.0) == 200
    first, second = host.transport.sent
    assert host.transport.cancelled == [first.request_id]
    assert first.caller_request_id == second.caller_request_id
    assert service_load_of(host.board.read(SERVER_LOADS), SERVICE.name).in_flight == 0


def test_first_answer_ends_the_second_attempt() -> None:
    # Guards against servers that go on working for a request that has its answer.
    host = Host(transport=SilentTransport(other_is_held=True))
    assert host.deliver(RunIdempotent(), retry_share=1.0) == 200
    assert host.transport.cancelled == [host.transport.sent[1].request_id]


def test_second_attempt_ends_though_it_began_after_its_cancellation() -> None:
    # Guards against a slot that is held until the deadline by an attempt that was
    # about to be sent when the first answer came.
    host = Host(transport=SilentTransport(other_is_held=True, is_early_cancel=True))
    assert host.deliver(RunIdempotent(), retry_share=1.0) == 200
    assert host.transport.cancelled == [host.transport.sent[1].request_id]


def test_second_answer_ends_an_attempt_that_was_still_connecting() -> None:
    # Guards against a caller that waits for the first server though the second one
    # answered.
    host = Host(transport=SilentTransport(is_early_cancel=True))
    assert host.deliver(RunIdempotent(), retry_share=1.0) == 200
    assert host.transport.cancelled == [host.transport.sent[0].request_id]


@pytest.mark.parametrize(
    ("run", "retry_share"), [(RunIdempotent(), 0.0), (RunOnce(), 1.0)]
)
def test_no_second_attempt_without_budget_or_permission(
    run: RunPolicy, retry_share: float
) -> None:
    # Guards against retries beyond the budget, and against running twice.
    host = Host()
    assert host.deliver(run, retry_share=retry_share) == 200
    assert len(host.transport.sent) == 1
