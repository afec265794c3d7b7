"""Send an admitted request to backend servers until it ends truthfully."""

import threading
from collections.abc import Callable
from random import Random

from attrs import define, evolve, field, frozen

from ..blackboard import Board
from ..blackboard.regions import EVIDENCE, HOST_FEED, RETRY_BUDGETS, ROSTER
from ..decisions.attempts import (
    Finish,
    Retry,
    attempt_headers,
    attempt_limit,
    attempt_timeout_s,
    decide_after_attempt,
    describe_result,
    local_queue_margin_of,
    local_risk_margin_of,
    may_attempt_again,
    most_informative_result,
    outcome_of,
    reached_no_server,
    retry_delay_s,
)
from ..decisions.health import record_attempt_end, record_attempt_start
from ..decisions.replies import make_outcome_reply, make_result_reply
from ..decisions.retries import (
    BudgetExhausted,
    earn_retry,
    max_balance_per_host,
    spend_retry,
)
from ..frontends.backends import Transport
from ..records import (
    AdmittedRequest,
    AnswerLate,
    AttemptCancelled,
    AttemptRecord,
    BackendRequest,
    BackendResult,
    DomainName,
    NotRun,
    Placement,
    Reply,
    RetryBudget,
    RetryBudgets,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    ServerId,
    ServiceRule,
    SlotRequest,
)
from ..utils import Clock
from .canceller import Canceller
from .dispatcher import Dispatcher, NotPlaced, Placed
from .metrics_recorder import MetricsRecorder

__all__ = ["Delivery", "Sender"]

MIN_ATTEMPT_S = 0.005
CLAIM_ENDED = "the permission to run ended before the request was sent"


@frozen(kw_only=True)
class Delivery:
    """Hold the reply, the seconds that servers took, and the rule behind it."""

    reply: Reply
    backend_s: float
    rule: str
    attempts: tuple[AttemptRecord, ...] = ()


@frozen(kw_only=True)
class _Tried:
    result: BackendResult
    server: ServerId
    took_s: float


def _pause(delay_s: float) -> None:
    threading.Event().wait(delay_s)


@define(kw_only=True, eq=False)
class Sender:
    """Write the evidence and retry budgets regions."""

    board: Board
    clock: Clock
    rng: Random
    transport: Transport
    dispatcher: Dispatcher
    canceller: Canceller
    accountant: MetricsRecorder
    domain: DomainName
    pause: Callable[[float], None] = field(default=_pause)
    name: str = "sender"

    def deliver(
        self,
        service: ServiceRule,
        admitted: AdmittedRequest,
        is_gone: Callable[[], bool],
        may_send: Callable[[], bool] = lambda: True,
    ) -> Delivery:
        """Return what came of the request; `may_send` is asked before each send."""
        tried: list[_Tried] = []
        tag: float | None = None
        while True:
            placed = self.dispatcher.place(self._ask_slot(admitted, tried, tag))
            match placed:
                case NotPlaced() as none:
                    return _deliver_unplaced(admitted, tried, none)
                case Placed(server=server) if is_gone():
                    self.dispatcher.cancel(server)
                    return _deliver_unplaced(admitted, tried, _caller_left())
                case Placed(server=server) if not may_send():
                    self.dispatcher.cancel(server)
                    return _deliver_unplaced(admitted, tried, _claim_ended())
                case Placed(server=server, tag=tag):
                    self._count_attempt(service, tried)
                    tried.append(self._attempt(admitted, server, len(tried), is_gone))
            match decide_after_attempt(tried[-1].result, admitted.route.run):
                case Retry() if self._may_retry(service, admitted, tried, is_gone):
                    self.accountant.count("retries", service.name)
                case Retry() | Finish():
                    return _deliver(admitted, tried)

    def _ask_slot(
        self, admitted: AdmittedRequest, tried: list[_Tried], tag: float | None
    ) -> SlotRequest:
        run, body_bytes = admitted.route.run, len(admitted.request.body)
        placement = Placement(
            domain=self.domain,
            excluded=_excluded(run, tried),
            repeatable=not isinstance(run, RunOnce),
            local_queue_margin=local_queue_margin_of(admitted.route, body_bytes),
            local_risk_margin=local_risk_margin_of(admitted.route, body_bytes),
        )
        return SlotRequest(
            service=admitted.route.service,
            organisation=admitted.organisation,
            placement=placement,
            deadline_at_s=admitted.deadline_at_s,
            tag=tag,
        )

    def _attempt(
        self,
        admitted: AdmittedRequest,
        server: ServerId,
        count: int,
        is_gone: Callable[[], bool],
    ) -> _Tried:
        attempt = self._build_attempt(admitted, count)
        started_s = self.clock.monotonic_s()
        self._record_start(server, attempt.request_id)
        with self.canceller.watch(
            attempt.request_id, timeout_s=attempt.timeout_s, is_gone=is_gone
        ):
            result = self.transport.send(server, attempt)
        match result:
            case AnswerLate(waited_s=waited_s) if is_gone():
                result = AttemptCancelled(waited_s=waited_s)
            case _:
                pass
        took_s = self.clock.monotonic_s() - started_s
        self.dispatcher.release(server, result, started_s=started_s)
        self._record_end(server, attempt.request_id, result)
        self.accountant.count("attempts", type(result).__name__)
        return _Tried(result=result, server=server, took_s=took_s)

    def _build_attempt(self, admitted: AdmittedRequest, count: int) -> BackendRequest:
        request = admitted.request
        run = admitted.route.run
        return BackendRequest(
            request_id=f"{request.request_id}-{count}",
            caller_request_id=request.request_id,
            attempt=count,
            method=request.method,
            path=request.path,
            organisation=admitted.organisation,
            headers=attempt_headers(request, run),
            body=request.body,
            timeout_s=attempt_timeout_s(
                run,
                remaining_s=admitted.deadline_at_s - self.clock.monotonic_s(),
                is_last=count + 1 >= attempt_limit(admitted.route),
            ),
        )

    def _may_retry(
        self,
        service: ServiceRule,
        admitted: AdmittedRequest,
        tried: list[_Tried],
        is_gone: Callable[[], bool],
    ) -> bool:
        run = admitted.route.run
        if not may_attempt_again(admitted.route, [one.result for one in tried]):
            return False
        retries = len(tried) - 1
        while True:
            delay_s = retry_delay_s(run, retries, self.rng)
            if is_gone() or self._left_s(admitted) < delay_s + MIN_ATTEMPT_S:
                return False
            if delay_s > 0.0:
                self.pause(delay_s)
            if reached_no_server(tried[-1].result) or self._spend_retry(service):
                return True
            match run:
                case RunAsUpload():
                    retries += 1
                case RunIdempotent() | RunOnce():
                    return False

    def _left_s(self, admitted: AdmittedRequest) -> float:
        return admitted.deadline_at_s - self.clock.monotonic_s()

    def _count_attempt(self, service: ServiceRule, tried: list[_Tried]) -> None:
        if tried:
            return
        now_s = self.clock.monotonic_s()
        most = self._most_retries(service)

        def earn(held: RetryBudgets) -> RetryBudgets:
            budget = held.by_service.get(service.name, RetryBudget(at_s=now_s))
            budget = earn_retry(
                budget, service.retry_share, max_balance=most, now_s=now_s
            )
            by_service = held.by_service.set(service.name, budget)
            return evolve(held, by_service=by_service)

        self.board.update(RETRY_BUDGETS, earn, writer=self.name)

    def _most_retries(self, service: ServiceRule) -> float:
        if service.retry_reserve is None:
            return max_balance_per_host(len(self.board.read(ROSTER).hosts))
        return service.retry_reserve / max(1, len(self.board.read(HOST_FEED).items))

    def _spend_retry(self, service: ServiceRule) -> bool:
        now_s = self.clock.monotonic_s()

        def spend(held: RetryBudgets) -> tuple[RetryBudgets, bool]:
            budget = held.by_service.get(service.name, RetryBudget(at_s=now_s))
            match spend_retry(budget, now_s):
                case BudgetExhausted():
                    return held, False
                case RetryBudget() as left:
                    by_service = held.by_service.set(service.name, left)
                    return evolve(held, by_service=by_service), True

        return self.board.transact(RETRY_BUDGETS, spend, writer=self.name)

    def _record_start(self, server: ServerId, attempt_id: str) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            EVIDENCE,
            lambda held: record_attempt_start(held, server, attempt_id, now_s),
            writer=self.name,
        )

    def _record_end(
        self, server: ServerId, attempt_id: str, result: BackendResult
    ) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            EVIDENCE,
            lambda held: record_attempt_end(held, server, attempt_id, result, now_s),
            writer=self.name,
        )


def _excluded(run: RunPolicy, tried: list[_Tried]) -> frozenset[ServerId]:
    match run:
        case RunAsUpload():
            return frozenset(one.server for one in tried[-1:])
        case RunIdempotent() | RunOnce():
            return frozenset(one.server for one in tried)


def _caller_left() -> NotPlaced:
    return NotPlaced(reason="the caller left", retry_after_s=0.0)


def _claim_ended() -> NotPlaced:
    return NotPlaced(reason=CLAIM_ENDED, retry_after_s=0.0)


def _deliver(admitted: AdmittedRequest, tried: list[_Tried]) -> Delivery:
    best = most_informative_result(tuple(one.result for one in tried))
    reply = make_result_reply(admitted.request.request_id, best, outcome_of(best))
    backend_s = sum(one.took_s for one in tried)
    notes = tuple(
        AttemptRecord(
            server=one.server, result=describe_result(one.result), took_s=one.took_s
        )
        for one in tried
    )
    return Delivery(reply=reply, backend_s=backend_s, rule="attempt", attempts=notes)


def _deliver_unplaced(
    admitted: AdmittedRequest, tried: list[_Tried], none: NotPlaced
) -> Delivery:
    if tried:
        return _deliver(admitted, tried)
    outcome = NotRun(reason=none.reason, retry_after_s=none.retry_after_s)
    reply = make_outcome_reply(admitted.request.request_id, outcome)
    return Delivery(reply=reply, backend_s=0.0, rule="routing")
