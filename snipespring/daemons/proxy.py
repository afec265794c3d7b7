"""Run one host of the fleet: `snipespring proxy`."""

import logging
import signal
import threading
from functools import partial
from types import FrameType

from attrs import define

from ..blackboard.regions import STOP_STATE
from ..controllers import AddressLister, BodyMemoryLimiter, Responder, Runner
from ..frontends.backends import HttpTransport
from ..frontends.callers import CallersApp
from ..frontends.http_server import HttpServer
from ..frontends.operators import OperatorsApp
from ..frontends.peers import PeerServer
from ..records import Leaving
from ..settings import Settings
from .proxy_context import ProxyContext, make_proxy_context
from .proxy_parts import (
    ClaimPart,
    HealthPart,
    LimitPart,
    MembershipPart,
    build_claims,
    build_health,
    build_limits,
    build_membership,
)
from .requests import RequestPart, build_requests

__all__ = ["Proxy", "build_proxy", "run_proxy"]

DRAIN_TIMEOUT_S = 30.0
DISSEMINATION_ROUNDS = 6  # pull intervals until all hosts know that this one leaves
OPERATOR_THREADS = 2
OPERATOR_CONNECTIONS = 50
MAX_OPERATOR_BODY_BYTES = 65536
MAX_BUFFERED_BODY_BYTES = 64 * 1024 * 1024

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class Proxy:
    """Represent one running proxy host."""

    context: ProxyContext
    membership: MembershipPart
    limits: LimitPart
    claims: ClaimPart
    runner: Runner
    callers: HttpServer
    operators: HttpServer
    peers: PeerServer

    def start(self) -> None:
        """Open the listeners and start the controllers.

        Raise OSError if an address is in use.
        """
        self.peers.start()
        self.operators.start()
        self.callers.start()
        self.runner.start()

    def stop(self) -> None:
        """Withdraw from address lists, drain requests, leave the roster and close."""
        self._announce_leaving()
        self.callers.stop_listening()
        idle = self.callers.wait_until_idle(DRAIN_TIMEOUT_S)
        log.info("drained", extra={"idle": idle})
        self.claims.claimant.step()
        self.claims.handover_sender.hand_over()
        self.callers.close()
        self._leave_roster()
        log.info("left the roster")
        self.runner.stop()
        self.limits.handover_sender.close()
        self.peers.close()
        self.context.links.close()
        self.operators.close()

    def _announce_leaving(self) -> None:
        """Announce the stop, then wait until no caller uses this address any more."""
        settings = self.context.settings
        dissemination_s = DISSEMINATION_ROUNDS * settings.peers.pull_interval_s
        wait_s = dissemination_s + settings.callers.address_lifetime_s
        until_s = self.context.clock.monotonic_s() + wait_s
        leaving = Leaving(until_s=until_s + DRAIN_TIMEOUT_S, lenient_until_s=until_s)
        self.context.board.write(STOP_STATE, leaving, writer="stopper")
        self.callers.drain()
        threading.Event().wait(wait_s)

    def _leave_roster(self) -> None:
        """Release the lease, leave the roster, then hand over the shares of limits."""
        now_s = self.context.clock.monotonic_s()
        finished = Leaving(until_s=now_s, finished=True)
        self.context.board.write(STOP_STATE, finished, writer="stopper")
        self.membership.lease_manager.step()
        self.membership.roster_manager.leave()
        self.limits.handover_sender.hand_over_all()


def build_proxy(settings: Settings, secret: bytes) -> Proxy:
    """Build a host that is ready to start."""
    context = make_proxy_context(settings, secret)
    membership = build_membership(context)
    limits = build_limits(context)
    health = build_health(context)
    claims = build_claims(context, secret)
    body_limiter = BodyMemoryLimiter(
        board=context.board, max_bytes=MAX_BUFFERED_BODY_BYTES
    )
    requests = build_requests(
        context.process,
        own_host=context.own_host,
        transport=HttpTransport(clock=context.clock, body_budget=body_limiter),
        limiter=limits.limiter,
        claimant=claims.claimant,
        max_queued=settings.callers.queue,
        threads=settings.callers.threads + settings.callers.queue,
    )
    controllers = (
        *membership.controllers,
        *limits.controllers,
        *health.controllers,
        *claims.controllers,
        *requests.controllers,
    )
    responder = _build_responder(membership, limits, health, claims)
    return Proxy(
        context=context,
        membership=membership,
        limits=limits,
        claims=claims,
        runner=Runner(board=context.board, controllers=controllers),
        callers=_build_callers_server(context, requests, claims, body_limiter),
        operators=HttpServer(
            address=context.own_host.operators,
            app=OperatorsApp(board=context.board),
            threads=OPERATOR_THREADS,
            max_body_bytes=MAX_OPERATOR_BODY_BYTES,
            connections=OPERATOR_CONNECTIONS,
        ),
        peers=PeerServer(
            address=context.own_host.peers,
            secret=secret,
            answer=responder.answer,
            count_refused=partial(context.metrics.count, "peer_frames_refused"),
        ),
    )


def run_proxy(settings: Settings, secret: bytes) -> None:
    """Run a host until SIGTERM or SIGINT, then stop it gracefully.

    Raise OSError if an address is in use.
    """
    stopping = threading.Event()

    def on_signal(_signum: int, _frame: FrameType | None) -> None:
        stopping.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    proxy = build_proxy(settings, secret)
    proxy.start()
    log.info("started", extra={"callers": str(settings.listen.callers)})
    stopping.wait()
    log.info("stopping")
    proxy.stop()
    log.info("stopped")


def _build_responder(
    membership: MembershipPart, limits: LimitPart, health: HealthPart, claims: ClaimPart
) -> Responder:
    return Responder(
        puller=membership.puller,
        share_manager=limits.share_manager,
        health_evaluator=health.evaluator,
        claim_owner=claims.owner,
        segment_fetcher=membership.segment_fetcher,
    )


def _build_callers_server(
    context: ProxyContext,
    requests: RequestPart,
    claims: ClaimPart,
    body_limiter: BodyMemoryLimiter,
) -> HttpServer:
    options = context.settings.callers
    address_lister = AddressLister(
        board=context.board,
        clock=context.clock,
        own_host=context.own_host,
        lifetime_s=options.address_lifetime_s,
        issue_prefix=claims.claimant.issue_prefix,
    )
    return HttpServer(
        address=context.own_host.callers,
        app=CallersApp(
            handle=requests.forwarder.handle, list_addresses=address_lister.answer
        ),
        threads=options.threads + options.queue,
        max_head_bytes=options.max_head_bytes,
        max_body_bytes=options.max_body_bytes,
        connections=options.connections,
        body_budget=body_limiter,
    )
