"""Run one host on the users' platform: `snipespring gateway`."""

import logging
import os
import signal
import threading
from pathlib import Path
from types import FrameType

from attrs import define

from ..blackboard.regions import STOP_STATE
from ..controllers import (
    DomainLink,
    NoClaimControl,
    Runner,
    SettingsReloader,
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
    build_callers_server,
    build_store_followers,
    compute_thread_count,
    make_gateway_context,
)
from .requests import build_requests

__all__ = ["Gateway", "build_gateway", "run_gateway"]

STOP_MARGIN_S = 0.4  # between the last answer and the end of the grace
MAX_REQUEST_S = 2.6  # listen no longer than lets such requests end in the grace
SETTINGS_CHECK_INTERVAL_S = 1.0  # a changed settings file is read within this
CONNECT_TIMEOUT_S = 0.25  # many round trips between domains, then another server

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class Gateway:
    """Hold the parts of one running host."""

    context: GatewayContext
    runner: Runner
    domain_link: DomainLink
    links: DatagramSocket
    callers: HttpServer
    auxiliary_servers: tuple[HttpServer, ...]

    def start(self) -> None:
        """Open the listeners and start the controllers; raise OSError if taken."""
        self.links.start()
        for server in (*self.auxiliary_servers, self.callers):
            server.start()
        self.runner.start()

    def stop(self) -> None:
        """Leave the address answers, take what still comes, finish all of it."""
        grace_s = self.context.settings.stop.grace_s - STOP_MARGIN_S
        listen_s = max(0.0, grace_s - MAX_REQUEST_S)
        until_s = self.context.process.clock.monotonic_s() + listen_s
        leaving = Leaving(until_s=until_s)
        self.context.process.board.write(STOP_STATE, leaving, writer="stopper")
        self.domain_link.report_now()
        self.callers.drain()
        threading.Event().wait(listen_s)
        self.callers.stop_listening()
        idle = self.callers.wait_until_idle(grace_s - listen_s)
        log.info("drained", extra={"idle": idle})


def build_gateway(settings: GatewaySettings) -> Gateway:
    """Return a host that is ready to start."""
    base = make_gateway_context(settings)
    core, own = base.process, base.own_host
    links = DatagramSocket(
        address=settings.listen.peers,
        on_message=lambda message, sender: domain_link.receive(message, sender),
    )
    domain_link = DomainLink(
        board=core.board,
        clock=core.clock,
        datagrams=links,
        own_host=own,
        incarnation=base.incarnation,
        window_s=settings.limits.window_s,
        on_outcome=lambda news: judge.receive_outcome(news),
    )
    judge = SuspicionTracker(
        board=core.board,
        clock=core.clock,
        historian=core.historian,
        accountant=core.accountant,
        host_id=own.host_id,
        domain=own.domain,
        broadcast_outcome=domain_link.broadcast_outcome,
    )
    threads = compute_thread_count(settings)
    requests = build_requests(
        core,
        own_host=base.describe_host(),
        transport=HttpTransport(
            clock=core.clock,
            encoding=PlatformEncoding(),
            connect_timeout_s=CONNECT_TIMEOUT_S,
        ),
        limits=UsageLimiter(
            board=core.board,
            clock=core.clock,
            rng=core.rng,
            accountant=core.accountant,
            limits=settings.limits,
        ),
        claims=NoClaimControl(),
        max_queued=threads,
    )
    followers = build_store_followers(base)
    controllers = (*followers, domain_link, judge, *requests.controllers)
    return Gateway(
        context=base,
        runner=Runner(board=core.board, controllers=controllers),
        domain_link=domain_link,
        links=links,
        callers=build_callers_server(base, requests.forwarder, threads),
        auxiliary_servers=build_auxiliary_servers(base),
    )


def run_gateway(settings: GatewaySettings, path: Path) -> None:
    """Run a host until SIGTERM or SIGINT, then stop it gracefully."""
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
    keeper = SettingsReloader(board=gateway.context.process.board, path=path)
    keeper.check()
    while not stopping.wait(SETTINGS_CHECK_INTERVAL_S):
        is_asked = reloading.is_set()
        reloading.clear()
        keeper.check(is_requested=is_asked)
    log.info("stopping")
    gateway.stop()
    log.info("stopped")
    logging.shutdown()
    # Watches may still wait for the store, and nothing is left to finish.
    os._exit(0)
