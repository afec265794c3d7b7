"""Authenticate, admit, claim and forward requests."""

from collections.abc import Callable
from functools import partial
from random import Random

from attrs import define, evolve, field

from ..blackboard import Board
from ..blackboard.regions import (
    CONFIGURATION,
    LEASE,
    STOP_STATE,
)
from ..decisions.bulkheads import HasRoom, NoRoom
from ..decisions.claims import strips_claim_key
from ..decisions.keys import Authenticated, KeyRefused, authenticate, strip_key
from ..decisions.replies import cap_retry_after, make_outcome_reply
from ..decisions.routing import draw_service
from ..decisions.rules import find_request_route
from ..decisions.stops import BeginRequest, RefuseRequest, check_stop
from ..records import (
    Admitted,
    AdmittedRequest,
    ClaimGranted,
    ClaimRefused,
    ClaimRepeated,
    ClaimResult,
    Configuration,
    HandledRequest,
    KeyAccess,
    LeaseHeld,
    LeaseLapsed,
    NotRun,
    OpenAccess,
    OrganisationName,
    OverLimit,
    Reply,
    Request,
    RequestRefused,
    RouteRule,
    Unclaimed,
)
from ..utils import Clock
from .admission import AdmissionControl, ClaimControl
from .concurrency_limiter import ConcurrencyLimiter
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder
from .request_log import RequestLog
from .sender import Sender
from .start_gate import StartGate

__all__ = ["Forwarder"]

SHORT_RETRY_AFTER_S = 0.2
STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_TOO_MANY_REQUESTS = 429
NO_CONFIGURATION = "no configuration is active yet"
API_KEY_IN_IDEMPOTENCY_KEY = "the idempotency key contains the organisation's API key"


@define(kw_only=True, eq=False)
class Forwarder:
    """Serve requests on the callers' threads."""

    board: Board
    clock: Clock
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    limiter: AdmissionControl
    claimant: ClaimControl
    sender: Sender
    concurrency_limiter: ConcurrencyLimiter
    rng: Random = field(factory=Random)
    start_gate: StartGate | None = None
    request_log: RequestLog = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the request log."""
        self.request_log = RequestLog(
            board=self.board, clock=self.clock, domain=self.sender.domain
        )

    def handle(self, request: Request, is_disconnected: Callable[[], bool]) -> Reply:
        """Return the reply to a request; send no more attempts after a disconnect."""
        started_s = self.clock.monotonic_s()
        handled = self._serve(request, is_disconnected, started_s)
        self.request_log.write(request, handled, started_s=started_s)
        return handled.reply

    def _serve(
        self, request: Request, is_disconnected: Callable[[], bool], started_s: float
    ) -> HandledRequest:
        cfg = self.board.read(CONFIGURATION)
        if cfg.version == 0 and self.start_gate is not None:
            self.start_gate.wait()
            cfg = self.board.read(CONFIGURATION)
        if cfg.version == 0:
            return self._refuse_temporarily(request, NO_CONFIGURATION, "configuration")
        route = find_request_route(cfg, request)
        if route is None:
            return self._refuse(request, None, STATUS_NOT_FOUND, "no route", "routes")
        route = evolve(route, service=draw_service(route, self.rng))
        deadline_at_s = _deadline_at_s(cfg, route, request, started_s)
        match check_stop(
            self.board.read(STOP_STATE), deadline_at_s=deadline_at_s, now_s=started_s
        ):
            case RefuseRequest(reason=reason):
                return self._refuse_temporarily(request, reason, "stop")
            case BeginRequest():
                pass
        lapsed = self._lapsed_lease(route)
        if lapsed is not None:
            return self._refuse_temporarily(request, lapsed.reason, "lease")
        match authenticate(cfg, route, request):
            case KeyRefused(reason=reason):
                return self._refuse(request, None, STATUS_UNAUTHORIZED, reason, "keys")
            case Authenticated(organisation=organisation, key=key):
                stripped = strip_key(request, key)
                if strips_claim_key(request, stripped):
                    return self._refuse(
                        request,
                        organisation,
                        STATUS_BAD_REQUEST,
                        API_KEY_IN_IDEMPOTENCY_KEY,
                        "claims",
                    )
                admitted = AdmittedRequest(
                    request=stripped,
                    route=route,
                    organisation=organisation,
                    deadline_at_s=deadline_at_s,
                    received_s=started_s,
                )
                return self._admit_with_room(cfg, admitted, is_disconnected)

    def _admit_with_room(
        self,
        cfg: Configuration,
        admitted: AdmittedRequest,
        is_disconnected: Callable[[], bool],
    ) -> HandledRequest:
        service = admitted.route.service
        with self.concurrency_limiter.begin(service) as room:
            match room:
                case HasRoom():
                    return self._admit(cfg, admitted, is_disconnected)
                case NoRoom(reason=reason):
                    return evolve(
                        self._refuse_temporarily(admitted.request, reason, "bulkhead"),
                        organisation=admitted.organisation,
                        service=service,
                    )

    def _admit(
        self,
        cfg: Configuration,
        admitted: AdmittedRequest,
        is_disconnected: Callable[[], bool],
    ) -> HandledRequest:
        organisation = admitted.organisation
        if organisation is None:
            return self._claim_and_forward(cfg, admitted, is_disconnected)
        admission = self.limiter.admit(
            organisation,
            deadline_at_s=admitted.deadline_at_s,
            priority=admitted.route.priority,
        )
        match admission:
            case Admitted():
                return self._claim_and_forward(cfg, admitted, is_disconnected)
            case OverLimit() as over:
                return self._refuse_over_limit(admitted, over)

    def _claim_and_forward(
        self,
        cfg: Configuration,
        admitted: AdmittedRequest,
        is_disconnected: Callable[[], bool],
    ) -> HandledRequest:
        claim = self.claimant.begin(admitted)
        match claim:
            case Unclaimed() | ClaimGranted():
                handled = self._forward(cfg, admitted, claim, is_disconnected)
                self.claimant.finish(claim, handled.reply)
                return handled
            case ClaimRepeated(reply=reply):
                reply = evolve(reply, request_id=admitted.request.request_id)
                return _make_handled_request(admitted, reply, "claims")
            case ClaimRefused(outcome=outcome, status=status):
                self.metrics.count("replies", type(outcome).__name__)
                request_id = admitted.request.request_id
                reply = make_outcome_reply(request_id, outcome, status=status)
                return _make_handled_request(admitted, reply, "claims")

    def _refuse_over_limit(
        self, admitted: AdmittedRequest, over: OverLimit
    ) -> HandledRequest:
        request = admitted.request
        self.metrics.count("refusals", "limits")
        self._record_refusal(request, admitted.organisation, over.reason, "limits")
        remaining_s = admitted.deadline_at_s - self.clock.monotonic_s()
        outcome = cap_retry_after(
            NotRun(reason=over.reason, retry_after_s=over.retry_after_s),
            remaining_s=remaining_s,
        )
        reply = make_outcome_reply(
            request.request_id, outcome, status=STATUS_TOO_MANY_REQUESTS
        )
        return _make_handled_request(admitted, reply, "limits")

    def _lapsed_lease(self, route: RouteRule) -> LeaseLapsed | None:
        match route.access, self.board.read(LEASE):
            case OpenAccess(), _:
                return None
            case KeyAccess(), LeaseHeld(until_s=until_s):
                if self.clock.monotonic_s() < until_s:
                    return None
                return LeaseLapsed(reason="the lease ended")
            case KeyAccess(), LeaseLapsed() as lapsed:
                return lapsed
        raise AssertionError("the match above is exhaustive")

    def _forward(
        self,
        cfg: Configuration,
        admitted: AdmittedRequest,
        claim: ClaimResult,
        is_disconnected: Callable[[], bool],
    ) -> HandledRequest:
        service = cfg.services[admitted.route.service]
        may_send = partial(self.claimant.may_send, claim)
        delivery = self.sender.deliver(service, admitted, is_disconnected, may_send)
        total_s = self.clock.monotonic_s() - admitted.received_s
        # Two attempts at the same time may take longer together than the request.
        self.metrics.observe_added_latency(max(0.0, total_s - delivery.backend_s))
        reply = self._complete_reply(admitted, delivery.reply, delivery.rule)
        return evolve(
            _make_handled_request(admitted, reply, delivery.rule),
            attempts=delivery.attempts,
            retry_refusal=delivery.retry_refusal,
        )

    def _complete_reply(
        self, admitted: AdmittedRequest, reply: Reply, rule: str
    ) -> Reply:
        self.metrics.count("replies", type(reply.outcome).__name__)
        remaining_s = admitted.deadline_at_s - self.clock.monotonic_s()
        reply = evolve(
            reply, outcome=cap_retry_after(reply.outcome, remaining_s=remaining_s)
        )
        match reply.outcome:
            case NotRun(reason=reason):
                self._record_refusal(
                    admitted.request, admitted.organisation, reason, rule
                )
            case _:
                pass
        return reply

    def _refuse(
        self,
        request: Request,
        organisation: OrganisationName | None,
        status: int,
        reason: str,
        rule: str,
    ) -> HandledRequest:
        self.metrics.count("refusals", rule)
        self._record_refusal(request, organisation, reason, rule)
        outcome = NotRun(reason=reason)
        reply = make_outcome_reply(request.request_id, outcome, status=status)
        return HandledRequest(reply=reply, rule=rule, organisation=organisation)

    def _refuse_temporarily(
        self, request: Request, reason: str, rule: str
    ) -> HandledRequest:
        self.metrics.count("refusals", rule)
        self._record_refusal(request, None, reason, rule)
        outcome = NotRun(reason=reason, retry_after_s=SHORT_RETRY_AFTER_S)
        reply = make_outcome_reply(request.request_id, outcome)
        return HandledRequest(reply=reply, rule=rule)

    def _record_refusal(
        self,
        request: Request,
        organisation: OrganisationName | None,
        evidence: str,
        rule: str,
    ) -> None:
        event = RequestRefused(
            at_wall_s=self.clock.wall_s(),
            request_id=request.request_id,
            organisation=organisation,
            rule=rule,
            evidence=evidence,
        )
        self.event_recorder.record(event)


def _make_handled_request(
    admitted: AdmittedRequest, reply: Reply, rule: str
) -> HandledRequest:
    return HandledRequest(
        reply=reply,
        rule=rule,
        organisation=admitted.organisation,
        service=admitted.route.service,
    )


def _deadline_at_s(
    cfg: Configuration, route: RouteRule, request: Request, started_s: float
) -> float:
    allowed_s = cfg.services[route.service].deadline_s
    if request.deadline_s is not None:
        allowed_s = min(allowed_s, request.deadline_s)
    allowed_s = min(allowed_s, route.deadline_s)
    return started_s + allowed_s
