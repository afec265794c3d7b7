"""Send admitted requests to backend servers, with retries."""

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from math import inf
from random import Random

from attrs import Factory, define, evolve, field, frozen

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    EVIDENCE,
    SERVER_LOADS,
    SERVER_SUBSETS,
)
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
from ..decisions.health import (
    record_attempt_end,
    record_attempt_start,
)
from ..decisions.overload import HasRoom, Overloaded, admit_offered, make_room
from ..decisions.places import allowed_regions
from ..decisions.queueing import name_of, urgency_of
from ..decisions.replies import make_outcome_reply, make_result_reply
from ..decisions.retries import (
    hedge_delay_s,
)
from ..decisions.routing import (
    has_free_slots,
    route_load_of,
    service_load_of,
)
from ..frontends.backends import Transport
from ..records import (
    AdmittedRequest,
    Answered,
    AnswerLate,
    AnswerOrigin,
    AttemptCancelled,
    AttemptRecord,
    BackendRequest,
    BackendResult,
    DomainName,
    NotRun,
    OrganisationRule,
    Placement,
    Reply,
    RouteLoad,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    ServerId,
    ServiceRule,
    ShedByServer,
    SlotRequest,
)
from ..utils import Clock
from .canceller import Canceller
from .demand_recorder import DemandRecorder
from .dispatcher import Dispatcher, NotPlaced, Placed
from .hedges import Hedge
from .metrics_recorder import MetricsRecorder
from .retry_limiter import RetryLimiter

__all__ = ["Delivery", "Sender"]

MIN_ATTEMPT_TIMEOUT_S = 0.005
MAX_HEDGES = 8  # second attempts that run at the same time
CLAIM_EXPIRED_REASON = "the permission to run expired before the request was sent"


@frozen(kw_only=True)
class Delivery:
    """Represent a reply, the seconds servers took and the rule that decided it.

    `retry_refusal` tells why a wanted retry was not sent, empty if none was wanted.
    """

    reply: Reply
    backend_s: float
    rule: str
    attempts: tuple[AttemptRecord, ...] = ()
    retry_refusal: str = ""


@frozen(kw_only=True)
class _CompletedAttempt:
    result: BackendResult
    server: ServerId
    took_s: float


def _pause(delay_s: float) -> None:
    threading.Event().wait(delay_s)


@define(kw_only=True, eq=False)
class Sender:
    """Place, send and retry requests; write the evidence region."""

    board: Board
    clock: Clock
    rng: Random
    transport: Transport
    dispatcher: Dispatcher
    canceller: Canceller
    metrics: MetricsRecorder
    domain: DomainName
    demand: DemandRecorder = field(
        default=Factory(
            lambda self: DemandRecorder(board=self.board, clock=self.clock),
            takes_self=True,
        )
    )
    pause: Callable[[float], None] = field(default=_pause)
    name: str = "sender"
    retry_limiter: RetryLimiter = field(init=False)
    # Callers may choose the ids of their requests, and may use one twice.
    _attempt_ids: Iterator[int] = field(factory=count, init=False)
    _hedges: ThreadPoolExecutor = field(
        factory=lambda: ThreadPoolExecutor(MAX_HEDGES, thread_name_prefix="hedge"),
        init=False,
    )

    def __attrs_post_init__(self) -> None:
        """Create the limiter of retries."""
        self.retry_limiter = RetryLimiter(
            board=self.board,
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
            demand=self.demand,
        )

    def deliver(
        self,
        service: ServiceRule,
        admitted: AdmittedRequest,
        is_disconnected: Callable[[], bool],
        may_send: Callable[[], bool] = lambda: True,
    ) -> Delivery:
        """Return the reply to a request; `may_send` is checked before each attempt."""
        completed: list[_CompletedAttempt] = []
        tag: float | None = None
        match self._admit(service, admitted):
            case Overloaded(reason=reason, retry_after_s=retry_after_s):
                not_placed = NotPlaced(reason=reason, retry_after_s=retry_after_s)
                delivery = _make_unplaced_delivery(admitted, completed, not_placed)
                return evolve(delivery, rule="overload")
            case HasRoom():
                pass
        while True:
            placed = self.dispatcher.place(
                self._make_slot_request(admitted, completed, tag)
            )
            match placed:
                case NotPlaced() as not_placed:
                    return _make_unplaced_delivery(admitted, completed, not_placed)
                case Placed(server=server) if is_disconnected():
                    self.dispatcher.cancel(server)
                    return _make_unplaced_delivery(
                        admitted, completed, _caller_disconnected()
                    )
                case Placed(server=server) if not may_send():
                    self.dispatcher.cancel(server)
                    return _make_unplaced_delivery(
                        admitted, completed, _claim_expired()
                    )
                case Placed(server=server, tag=tag):
                    if not completed:
                        self.retry_limiter.earn(service, self._urgency_of(admitted))
                    completed += self._run_with_hedge(
                        service, admitted, server, completed, is_disconnected
                    )
            match decide_after_attempt(completed[-1].result, admitted.route.run):
                case Retry():
                    refusal = self._prepare_retry(
                        service, admitted, completed, is_disconnected
                    )
                    if refusal is not None:
                        delivery = _make_delivery(admitted, completed)
                        return evolve(delivery, retry_refusal=refusal)
                    self.metrics.count("retries", service.name)
                case Finish():
                    return _make_delivery(admitted, completed)

    def _admit(
        self, service: ServiceRule, admitted: AdmittedRequest
    ) -> HasRoom | Overloaded:
        """Count a request and decide whether the service has room for it."""
        urgency = self._urgency_of(admitted)
        level = self.demand.record_offered(
            service.name, name_of(admitted.route), urgency
        )
        demand = self.demand.read_fleet(service.name)
        if demand is None:
            return HasRoom()
        rules = self.board.read(CONFIGURATION).servers.get(service.name, ())
        slots = sum(rule.slots or service.slots for rule in rules)
        admission = admit_offered(make_room(demand, slots=slots), level, rng=self.rng)
        match admission:
            case Overloaded():
                self.metrics.count("overload_refusals", f"priority {urgency}")
            case HasRoom():
                pass
        return admission

    def _make_slot_request(
        self,
        admitted: AdmittedRequest,
        completed: list[_CompletedAttempt],
        tag: float | None,
    ) -> SlotRequest:
        run, body_bytes = admitted.route.run, len(admitted.request.body)
        placement = Placement(
            domain=self.domain,
            excluded=_excluded_servers(run, completed),
            repeatable=not isinstance(run, RunOnce),
            local_queue_margin=local_queue_margin_of(admitted.route, body_bytes),
            local_risk_margin=local_risk_margin_of(admitted.route, body_bytes),
            regions=allowed_regions(admitted.route, self._organisation_of(admitted)),
        )
        return SlotRequest(
            service=admitted.route.service,
            organisation=admitted.organisation,
            placement=placement,
            deadline_at_s=admitted.deadline_at_s,
            priority=self._urgency_of(admitted),
            route=name_of(admitted.route),
            objective_at_s=admitted.received_s + admitted.route.objective_s,
            tag=tag,
        )

    def _urgency_of(self, admitted: AdmittedRequest) -> int:
        return urgency_of(admitted.route, self._organisation_of(admitted))

    def _organisation_of(self, admitted: AdmittedRequest) -> OrganisationRule | None:
        rules = self.board.read(CONFIGURATION).organisations
        name = admitted.organisation
        return None if name is None else rules.get(name)

    def _run_with_hedge(
        self,
        service: ServiceRule,
        admitted: AdmittedRequest,
        server: ServerId,
        completed: list[_CompletedAttempt],
        is_disconnected: Callable[[], bool],
    ) -> list[_CompletedAttempt]:
        """Run an attempt, and a second one beside it if the answer is overdue.

        The first good answer ends the other attempt. Return the attempts that ended,
        the one to decide on last.
        """
        number = len(completed)
        first = self._make_backend_request(admitted, number)
        is_busy, load = self._read_load(service, admitted)
        hedge_after_s = hedge_delay_s(
            admitted.route,
            load,
            is_busy=is_busy,
            remaining_s=self._remaining_s(admitted),
        )
        if hedge_after_s == inf:
            return [self._run_attempt(admitted, first, server, is_disconnected)]
        second = self._make_backend_request(admitted, number + 1)
        # The transport ignores a cancellation while the first attempt connects; the
        # canceller repeats it.
        is_superseded = threading.Event()

        def run_second() -> _CompletedAttempt | None:
            hedged = self._run_hedge(
                service,
                admitted,
                second,
                server,
                completed,
                lambda: hedge.is_abandoned or is_disconnected(),
            )
            if hedged is not None and _is_final(hedged, admitted):
                is_superseded.set()
                self.transport.cancel(first.request_id)
            return hedged

        hedge = Hedge(
            executor=self._hedges,
            run=run_second,
            cancel=lambda: self.transport.cancel(second.request_id),
        )

        ended = self._run_attempt(
            admitted,
            first,
            server,
            is_disconnected,
            overdue_after_s=hedge_after_s,
            on_overdue=hedge.start,
            is_superseded=is_superseded.is_set,
        )
        hedged = hedge.finish(is_needed=not _is_final(ended, admitted))
        if hedged is None:
            return [ended]
        return [ended, hedged]

    def _run_hedge(
        self,
        service: ServiceRule,
        admitted: AdmittedRequest,
        attempt: BackendRequest,
        first_server: ServerId,
        completed: list[_CompletedAttempt],
        is_disconnected: Callable[[], bool],
    ) -> _CompletedAttempt | None:
        """Run a second attempt on another server if the retry budget allows one."""
        results = [attempt.result for attempt in completed]
        overdue = AnswerLate(waited_s=0.0)
        if is_disconnected() or not may_attempt_again(
            admitted.route, [*results, overdue]
        ):
            return None
        under_way = _CompletedAttempt(result=overdue, server=first_server, took_s=0.0)
        slot_request = self._make_slot_request(admitted, [*completed, under_way], None)
        match self.dispatcher.place_at_once(slot_request):
            case NotPlaced():
                return None
            case Placed(server=server) if (
                is_disconnected()
                or self.retry_limiter.spend(
                    service, admitted, self._urgency_of(admitted)
                )
                is not None
            ):
                self.dispatcher.cancel(server)
                return None
            case Placed(server=server):
                self.metrics.count("hedges", service.name)
                timeout_s = max(MIN_ATTEMPT_TIMEOUT_S, self._remaining_s(admitted))
                attempt = evolve(attempt, timeout_s=timeout_s)
                return self._run_attempt(admitted, attempt, server, is_disconnected)

    def _read_load(
        self, service: ServiceRule, admitted: AdmittedRequest
    ) -> tuple[bool, RouteLoad | None]:
        """Return whether a service's slots are busy, and how long the route takes."""
        load = service_load_of(self.board.read(SERVER_LOADS), service.name)
        subset = self.board.read(SERVER_SUBSETS).by_service.get(service.name)
        slots = service.slots if subset is None else subset.slots
        is_busy = load.has_reports and not has_free_slots(load, slots)
        return is_busy, route_load_of(load, name_of(admitted.route))

    def _run_attempt(
        self,
        admitted: AdmittedRequest,
        attempt: BackendRequest,
        server: ServerId,
        is_disconnected: Callable[[], bool],
        *,
        overdue_after_s: float = inf,
        on_overdue: Callable[[], None] = lambda: None,
        is_superseded: Callable[[], bool] = lambda: False,
    ) -> _CompletedAttempt:
        started_s = self.clock.monotonic_s()
        self._record_start(server, attempt.request_id)
        with self.canceller.watch(
            attempt.request_id,
            timeout_s=attempt.timeout_s,
            is_disconnected=lambda: is_superseded() or is_disconnected(),
            overdue_after_s=overdue_after_s,
            on_overdue=on_overdue,
        ):
            result = self.transport.send(server, attempt)
        match result:
            case AnswerLate(waited_s=waited_s) if is_disconnected():
                result = AttemptCancelled(waited_s=waited_s)
            case _:
                pass
        took_s = self.clock.monotonic_s() - started_s
        self.dispatcher.release(
            server, result, started_s=started_s, route=name_of(admitted.route)
        )
        self._record_end(server, attempt.request_id, result)
        self._count_result(server, result)
        self.demand.record_result(server.service, result)
        return _CompletedAttempt(result=result, server=server, took_s=took_s)

    def _count_result(self, server: ServerId, result: BackendResult) -> None:
        self.metrics.count("attempts", type(result).__name__)
        match result:
            case (
                Answered(origin=AnswerOrigin(skipped_answers=skipped))
                | ShedByServer(origin=AnswerOrigin(skipped_answers=skipped))
            ) if skipped:
                self.metrics.count("skipped_answers", server.service, skipped)
            case _:
                pass

    def _make_backend_request(
        self, admitted: AdmittedRequest, attempt_number: int
    ) -> BackendRequest:
        request = admitted.request
        run = admitted.route.run
        return BackendRequest(
            request_id=f"{request.request_id}-{next(self._attempt_ids)}",
            caller_request_id=request.request_id,
            attempt=attempt_number,
            method=request.method,
            path=request.path,
            organisation=admitted.organisation,
            headers=attempt_headers(request, run),
            body=request.body,
            timeout_s=attempt_timeout_s(
                run,
                remaining_s=admitted.deadline_at_s - self.clock.monotonic_s(),
                is_last=attempt_number + 1 >= attempt_limit(admitted.route),
            ),
        )

    def _prepare_retry(
        self,
        service: ServiceRule,
        admitted: AdmittedRequest,
        completed: list[_CompletedAttempt],
        is_disconnected: Callable[[], bool],
    ) -> str | None:
        """Wait before a retry and pay for it; return why not to send it, if so."""
        run = admitted.route.run
        if not may_attempt_again(
            admitted.route, [attempt.result for attempt in completed]
        ):
            return "no more attempts are allowed"
        retries = len(completed) - 1
        while True:
            delay_s = retry_delay_s(run, retries, self.rng)
            if (
                is_disconnected()
                or self._remaining_s(admitted) < delay_s + MIN_ATTEMPT_TIMEOUT_S
            ):
                return "the caller disconnected or the deadline is too near"
            if delay_s > 0.0:
                self.pause(delay_s)
            if reached_no_server(completed[-1].result):
                return None
            refusal = self.retry_limiter.spend(
                service, admitted, self._urgency_of(admitted)
            )
            if refusal is None:
                return None
            match run:
                case RunAsUpload():
                    retries += 1
                case RunIdempotent() | RunOnce():
                    return refusal

    def _remaining_s(self, admitted: AdmittedRequest) -> float:
        return admitted.deadline_at_s - self.clock.monotonic_s()

    def _record_start(self, server: ServerId, attempt_id: str) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            EVIDENCE,
            lambda evidence: record_attempt_start(evidence, server, attempt_id, now_s),
            writer=self.name,
        )

    def _record_end(
        self, server: ServerId, attempt_id: str, result: BackendResult
    ) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            EVIDENCE,
            lambda evidence: record_attempt_end(
                evidence, server, attempt_id, result, now_s
            ),
            writer=self.name,
        )


def _is_final(attempt: _CompletedAttempt, admitted: AdmittedRequest) -> bool:
    """Return whether the request needs no other attempt."""
    match decide_after_attempt(attempt.result, admitted.route.run):
        case Finish():
            return True
        case Retry():
            return False


def _excluded_servers(
    run: RunPolicy, completed: list[_CompletedAttempt]
) -> frozenset[ServerId]:
    match run:
        case RunAsUpload():
            return frozenset(attempt.server for attempt in completed[-1:])
        case RunIdempotent() | RunOnce():
            return frozenset(attempt.server for attempt in completed)


def _caller_disconnected() -> NotPlaced:
    return NotPlaced(reason="the caller disconnected", retry_after_s=0.0)


def _claim_expired() -> NotPlaced:
    return NotPlaced(reason=CLAIM_EXPIRED_REASON, retry_after_s=0.0)


def _make_delivery(
    admitted: AdmittedRequest, completed: list[_CompletedAttempt]
) -> Delivery:
    best = most_informative_result(tuple(attempt.result for attempt in completed))
    reply = make_result_reply(admitted.request.request_id, best, outcome_of(best))
    backend_s = sum(attempt.took_s for attempt in completed)
    records = tuple(
        AttemptRecord(
            server=attempt.server,
            result=describe_result(attempt.result),
            took_s=attempt.took_s,
        )
        for attempt in completed
    )
    return Delivery(reply=reply, backend_s=backend_s, rule="attempt", attempts=records)


def _make_unplaced_delivery(
    admitted: AdmittedRequest, completed: list[_CompletedAttempt], not_placed: NotPlaced
) -> Delivery:
    if completed:
        return _make_delivery(admitted, completed)
    outcome = NotRun(reason=not_placed.reason, retry_after_s=not_placed.retry_after_s)
    reply = make_outcome_reply(admitted.request.request_id, outcome)
    return Delivery(reply=reply, backend_s=0.0, rule="routing")
