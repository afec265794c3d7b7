"""Take one request from its route to a truthful reply."""

from collections.abc import Callable
from random import Random

from attrs import define, evolve, frozen

from ..blackboard import Board
from ..blackboard.regions import CONFIGURATION, EVIDENCE, LEASE, SERVER_LOADS
from ..decisions.attempts import (
    Finish,
    TryAgain,
    attempt_timeout_s,
    decide_after_attempt,
)
from ..decisions.claims import loses_claim_key
from ..decisions.health import record_end, record_start
from ..decisions.keys import Authenticated, KeyRefused, authenticate, strip_key
from ..decisions.replies import refusal_reply, result_reply
from ..decisions.routing import (
    Chosen,
    NoServer,
    choose_server,
    release_server,
    reserve_server,
)
from ..decisions.rules import find_route
from ..frontends.backends import Transport
from ..records import (
    Admitted,
    AdmittedRequest,
    Answered,
    BackendRequest,
    BackendResult,
    ClaimGranted,
    ClaimRefused,
    ClaimRepeated,
    ClaimResult,
    Configuration,
    ConnectFailed,
    DomainName,
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
    ServerId,
    ServerLoads,
    ServiceRule,
    ShedByServer,
    Unclaimed,
)
from ..utils import Clock
from .accountant import Accountant
from .claimant import Claimant
from .historian import Historian
from .limiter import Limiter

__all__ = ["Forwarder"]

MAX_ATTEMPTS = 3
MIN_ATTEMPT_S = 0.005
SHORT_RETRY_S = 0.2
KEY_IN_KEY = "the idempotency key holds the organisation's key"
CLAIM_ENDED = "the permission to run ended before the request was sent"


@frozen(kw_only=True)
class _Tried:
    result: BackendResult
    server: ServerId


@define(kw_only=True, eq=False)
class Forwarder:
    """Write the server loads region; serve requests on the callers' threads."""

    board: Board
    clock: Clock
    rng: Random
    transport: Transport
    historian: Historian
    accountant: Accountant
    limiter: Limiter
    claimant: Claimant
    domain: DomainName
    name: str = "forwarder"

    def handle(self, request: Request, is_gone: Callable[[], bool]) -> Reply:
        """Return the reply to a request; `is_gone` tells that its caller left."""
        started_s = self.clock.monotonic_s()
        cfg = self.board.read(CONFIGURATION)
        route = find_route(cfg, request.method, request.path)
        if route is None:
            return self._refuse(request, None, 404, "no route", "routes")
        lapsed = self._lapsed_lease(route)
        if lapsed is not None:
            return self._refuse(request, None, 503, lapsed.reason, "lease")
        match authenticate(cfg, route, request):
            case KeyRefused(reason=reason):
                return self._refuse(request, None, 401, reason, "keys")
            case Authenticated(organisation=organisation, key=key):
                stripped = strip_key(request, key)
                if loses_claim_key(request, stripped):
                    return self._refuse(
                        request, organisation, 400, KEY_IN_KEY, "claims"
                    )
                admitted = AdmittedRequest(
                    request=stripped,
                    route=route,
                    organisation=organisation,
                    deadline_at_s=_deadline_at_s(cfg, route, request, started_s),
                )
                return self._admit(cfg, admitted, is_gone)

    def _admit(
        self, cfg: Configuration, admitted: AdmittedRequest, is_gone: Callable[[], bool]
    ) -> Reply:
        organisation = admitted.organisation
        if organisation is None:
            return self._claim(cfg, admitted, is_gone)
        admission = self.limiter.admit(
            organisation, deadline_at_s=admitted.deadline_at_s
        )
        match admission:
            case Admitted():
                return self._claim(cfg, admitted, is_gone)
            case OverLimit() as over:
                return self._refuse_over_limit(admitted, over)

    def _claim(
        self, cfg: Configuration, admitted: AdmittedRequest, is_gone: Callable[[], bool]
    ) -> Reply:
        claim = self.claimant.begin(admitted)
        match claim:
            case Unclaimed() | ClaimGranted():
                reply = self._forward(cfg, admitted, claim, is_gone)
                self.claimant.finish(claim, reply)
                return reply
            case ClaimRepeated(reply=reply):
                return evolve(reply, request_id=admitted.request.request_id)
            case ClaimRefused(outcome=outcome, status=status):
                reply = refusal_reply(
                    admitted.request.request_id, outcome, status=status
                )
                return self._finish(admitted, reply)

    def _refuse_over_limit(self, admitted: AdmittedRequest, over: OverLimit) -> Reply:
        request = admitted.request
        self.accountant.count("refusals", "limits")
        self._record(request, admitted.organisation, over.reason, "limits")
        outcome = NotRun(reason=over.reason, retry_after_s=over.retry_after_s)
        return refusal_reply(request.request_id, outcome, status=429)

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
        is_gone: Callable[[], bool],
    ) -> Reply:
        service = cfg.services[admitted.route.service]
        tried: list[_Tried] = []
        while True:
            chosen = self._reserve(cfg, service, tried)
            if isinstance(chosen, NoServer):
                return self._reply_without_server(admitted, tried, chosen)
            if not self.claimant.may_send(claim):
                self._release(chosen.server, ConnectFailed(reason=CLAIM_ENDED))
                request, organisation = admitted.request, admitted.organisation
                return self._refuse(request, organisation, 503, CLAIM_ENDED, "claims")
            tried.append(self._attempt(admitted, chosen.server, len(tried)))
            may_retry = len(tried) < MAX_ATTEMPTS and self._has_time(admitted)
            may_retry = may_retry and not is_gone()
            last = tried[-1].result
            match decide_after_attempt(last, admitted.route.run, may_retry=may_retry):
                case TryAgain():
                    self.accountant.count("retries", service.name)
                case Finish(outcome=outcome):
                    reply = result_reply(admitted.request.request_id, last, outcome)
                    return self._finish(admitted, reply)

    def _reserve(
        self, cfg: Configuration, service: ServiceRule, tried: list[_Tried]
    ) -> Chosen | NoServer:
        servers = cfg.servers.get(service.name, ())
        excluded = frozenset(attempt.server for attempt in tried)
        now_s = self.clock.monotonic_s()

        def reserve(loads: ServerLoads) -> tuple[ServerLoads, Chosen | NoServer]:
            chosen = choose_server(
                service,
                servers,
                loads,
                domain=self.domain,
                excluded=excluded,
                now_s=now_s,
                rng=self.rng,
            )
            match chosen:
                case Chosen(server=server):
                    return reserve_server(loads, server), chosen
                case NoServer():
                    return loads, chosen

        return self.board.transact(SERVER_LOADS, reserve, writer=self.name)

    def _attempt(
        self, admitted: AdmittedRequest, server: ServerId, count: int
    ) -> _Tried:
        request = admitted.request
        attempt = BackendRequest(
            request_id=f"{request.request_id}-{count}",
            attempt=count,
            method=request.method,
            path=request.path,
            organisation=admitted.organisation,
            headers=request.headers,
            body=request.body,
            timeout_s=attempt_timeout_s(
                admitted.route.run,
                left_s=admitted.deadline_at_s - self.clock.monotonic_s(),
                last=count + 1 == MAX_ATTEMPTS,
            ),
        )
        self._record_start(server, attempt.request_id)
        result = self.transport.send(server, attempt)
        self._release(server, result)
        self._record_end(server, attempt.request_id, result)
        self.accountant.count("attempts", type(result).__name__)
        return _Tried(result=result, server=server)

    def _release(self, server: ServerId, result: BackendResult) -> None:
        match result:
            case Answered(load=load) | ShedByServer(load=load):
                report = load
            case _:
                report = None
        now_s = self.clock.monotonic_s()
        self.board.update(
            SERVER_LOADS,
            lambda loads: release_server(loads, server, report, now_s),
            writer=self.name,
        )

    def _record_start(self, server: ServerId, attempt_id: str) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            EVIDENCE,
            lambda held: record_start(held, server, attempt_id, now_s),
            writer=self.name,
        )

    def _record_end(
        self, server: ServerId, attempt_id: str, result: BackendResult
    ) -> None:
        now_s = self.clock.monotonic_s()
        self.board.update(
            EVIDENCE,
            lambda held: record_end(held, server, attempt_id, result, now_s),
            writer=self.name,
        )

    def _has_time(self, admitted: AdmittedRequest) -> bool:
        return admitted.deadline_at_s - self.clock.monotonic_s() > MIN_ATTEMPT_S

    def _reply_without_server(
        self, admitted: AdmittedRequest, tried: list[_Tried], none: NoServer
    ) -> Reply:
        request = admitted.request
        if not tried:
            return self._refuse(
                request, admitted.organisation, 503, none.reason, "routing"
            )
        last = tried[-1].result
        decided = decide_after_attempt(last, admitted.route.run, may_retry=False)
        reply = result_reply(request.request_id, last, decided.outcome)
        return self._finish(admitted, reply)

    def _finish(self, admitted: AdmittedRequest, reply: Reply) -> Reply:
        self.accountant.count("replies", type(reply.outcome).__name__)
        match reply.outcome:
            case NotRun(reason=reason):
                self._record(admitted.request, admitted.organisation, reason, "attempt")
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
    ) -> Reply:
        self.accountant.count("refusals", rule)
        self._record(request, organisation, reason, rule)
        outcome = NotRun(reason=reason, retry_after_s=SHORT_RETRY_S)
        return refusal_reply(request.request_id, outcome, status=status)

    def _record(
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
        self.historian.record(event)


def _deadline_at_s(
    cfg: Configuration, route: RouteRule, request: Request, started_s: float
) -> float:
    allowed_s = cfg.services[route.service].deadline_s
    if request.deadline_s is not None:
        allowed_s = min(allowed_s, request.deadline_s)
    return started_s + allowed_s
