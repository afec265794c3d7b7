"""Run one host on the users' platform: `snipespring gateway`."""

import logging
import os
import signal
import threading
from pathlib import Path
from types import FrameType

from attrs import define, evolve

from ..blackboard.regions import STOP_STATE
from ..controllers import (
    AdmissionAsker,
    DomainLink,
    Granter,
    NoClaimControl,
    OutcomeRelay,
    Runner,
    SettingsReloader,
    StartGate,
    SuspicionTracker,
    UsageLimiter,
)
from ..frontends.backends import HttpTransport
from ..frontends.datagrams import DatagramSocket
from ..frontends.http_server import HttpServer
from ..platform.backends import PlatformEncoding
from ..records import Leaving
from ..settings import GatewaySettings
from .gateway_parts import (
    GatewayContext,
    build_auxiliary_servers,
    build_body_limiter,
    build_callers_server,
    build_evacuation_follower,
    build_place_reporter,
    build_readiness_reporter,
    build_server_follower,
    build_store_followers,
    compute_thread_count,
    ignore_evacuations,
    make_gateway_context,
)
from .requests import build_requests

__all__ = ["Gateway", "build_gateway", "run_gateway"]

STOP_MARGIN_S = 0.4  # from the last reply to the end of the grace period
# New connections are accepted for this share of the grace period, from callers that
# still use an old address list.
LISTEN_SHARE = 0.5
# For this long, requests are begun whatever their deadline: hardly any takes as long as
# the rest of the grace period, and callers may not try a refused one again.
LENIENT_S = 3.0
SETTINGS_CHECK_INTERVAL_S = 1.0  # a changed settings file is read within this time
# Enough for many round trips between failure domains. If a server has not accepted
# the connection by then, another one is tried.
CONNECT_TIMEOUT_S = 0.25

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class Gateway:
    """Represent one running gateway host."""

    context: GatewayContext
    runner: Runner
    domain_link: DomainLink
    links: DatagramSocket
    callers: HttpServer
    auxiliary_servers: tuple[HttpServer, ...]

    def start(self) -> None:
        """Open the listeners and start the controllers.

        Raise OSError if an address is in use.
        """
        self.links.start()
        for server in (*self.auxiliary_servers, self.callers):
            server.start()
        self.runner.start()

    def stop(self) -> None:
        """Withdraw from address lists, accept late requests, then finish all requests.

        Return at the latest `STOP_MARGIN_S` before the end of the grace period.
        """
        board, clock = self.context.process.board, self.context.process.clock
        grace_s = self.context.settings.stop.grace_s
        reply_s = max(0.0, grace_s - STOP_MARGIN_S)
        listen_s = min(LISTEN_SHARE * grace_s, reply_s)
        now_s = clock.monotonic_s()
        leaving = Leaving(
            until_s=now_s + reply_s, lenient_until_s=now_s + min(LENIENT_S, listen_s)
        )
        board.write(STOP_STATE, leaving, writer="stopper")
        self.domain_link.report_now()
        self.callers.drain()
        threading.Event().wait(listen_s)
        self.callers.stop_listening()
        self.callers.wait_until_idle(leaving.until_s - clock.monotonic_s())
        # A request that arrives between this and the exit is refused, so that only
        # those that began before have to be waited for.
        board.write(STOP_STATE, evolve(leaving, finished=True), writer="stopper")
        idle = self.callers.wait_until_idle(leaving.until_s - clock.monotonic_s())
        log.info("drained", extra={"idle": idle})


def build_gateway(settings: GatewaySettings) -> Gateway:
    """Build a host that is ready to start."""
    context = make_gateway_context(settings)
    process, own_host = context.process, context.own_host
    links = DatagramSocket(
        address=settings.listen.peers,
        on_message=lambda message, sender: domain_link.receive(message, sender),
    )
    server_follower = build_server_follower(context)
    evacuation_follower = build_evacuation_follower(context)
    outcome_relay = OutcomeRelay(
        board=process.board,
        clock=process.clock,
        datagrams=links,
        own_host=own_host,
        on_outcome=lambda outcome: suspicion_tracker.receive_outcome(outcome),
    )
    domain_link = DomainLink(
        board=process.board,
        clock=process.clock,
        datagrams=links,
        own_host=own_host,
        incarnation=context.incarnation,
        window_s=settings.limits.window_s,
        retry_window_s=settings.retries.window_s,
        outage_s=context.outage_s,
        outcome_relay=outcome_relay,
        on_server_changes=server_follower.receive_changes,
        on_evacuations=evacuation_follower.receive_mark
        if evacuation_follower is not None
        else ignore_evacuations,
        on_admission_query=lambda query, sender: granter.receive(query, sender),
        on_admission_answer=lambda answer, sender: admission_asker.receive(
            answer, sender
        ),
    )
    suspicion_tracker = SuspicionTracker(
        board=process.board,
        clock=process.clock,
        event_recorder=process.event_recorder,
        metrics=process.metrics,
        host_id=own_host.host_id,
        domain=own_host.domain,
        broadcast_outcome=outcome_relay.broadcast,
    )
    granter = Granter(
        board=process.board,
        clock=process.clock,
        datagrams=links,
        metrics=process.metrics,
        limits=settings.limits,
        own_host=own_host,
    )
    admission_asker = AdmissionAsker(
        board=process.board,
        clock=process.clock,
        datagrams=links,
        metrics=process.metrics,
        granter=granter,
        own_host=own_host,
        incarnation=context.incarnation,
    )
    threads = compute_thread_count(settings)
    body_limiter = build_body_limiter(context)
    start_gate = StartGate(board=process.board, clock=process.clock)
    requests = build_requests(
        process,
        start_gate=start_gate,
        own_host=context.describe_host(),
        transport=HttpTransport(
            clock=process.clock,
            encoding=PlatformEncoding(),
            body_budget=body_limiter,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        ),
        limiter=UsageLimiter(
            board=process.board,
            clock=process.clock,
            rng=process.rng,
            metrics=process.metrics,
            limits=settings.limits,
            asker=admission_asker,
        ),
        claimant=NoClaimControl(),
        max_queued=threads,
        threads=threads,
        floor_share=settings.servers.floor,
        retry_window_s=settings.retries.window_s,
    )
    store_followers = build_store_followers(context)
    controllers = (
        *store_followers,
        server_follower,
        *([] if evacuation_follower is None else [evacuation_follower]),
        build_place_reporter(context),
        build_readiness_reporter(context),
        domain_link,
        granter,
        outcome_relay,
        suspicion_tracker,
        start_gate,
        *requests.controllers,
    )
    return Gateway(
        context=context,
        runner=Runner(board=process.board, controllers=controllers),
        domain_link=domain_link,
        links=links,
        callers=build_callers_server(
            context, requests.forwarder, body_limiter, threads
        ),
        auxiliary_servers=build_auxiliary_servers(context),
    )


def run_gateway(settings: GatewaySettings, path: Path) -> None:
    """Run a host until SIGTERM or SIGINT, then stop it gracefully.

    SIGHUP reads the settings file again. Raise OSError if an address is in use.
    """
    stopping, reloading = threading.Event(), threading.Event()

    def on_signal(_signum: int, _frame: FrameType | None) -> None:
        stopping.set()

    def on_reload(_signum: int, _frame: FrameType | None) -> None:
        reloading.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    signal.signal(signal.SIGHUP, on_reload)
    gateway = build_gateway(settings)
    gateway.start()
    log.info("started", extra={"callers": str(settings.listen.callers)})
    reloader = SettingsReloader(board=gateway.context.process.board, path=path)
    reloader.check()
    while not stopping.wait(SETTINGS_CHECK_INTERVAL_S):
        is_requested = reloading.is_set()
        reloading.clear()
        reloader.check(is_requested=is_requested)
    log.info("stopping")
    gateway.stop()
    log.info("stopped")
    logging.shutdown()
    # Exit without waiting for the threads: some may still be blocked in watch requests
    # to the store, and no work is pending.
    os._exit(0)
