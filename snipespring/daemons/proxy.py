"""Run one host of the fleet: `snipespring proxy`."""

import logging
import signal
import threading
import uuid
from functools import partial
from random import Random
from types import FrameType

from attrs import define

from ..blackboard import Board
from ..blackboard.regions import (
    PLATFORM_CONFIGURATION,
    PLATFORM_ROSTER,
    STOP,
)
from ..controllers import (
    Accountant,
    AddressLister,
    Canceller,
    Claimant,
    ClaimHandover,
    ClaimOwner,
    Configurator,
    Controller,
    Dispatcher,
    FenceKeeper,
    Forwarder,
    HealthJudge,
    HealthKeeper,
    HealthReporter,
    Historian,
    LeaseKeeper,
    Limiter,
    Puller,
    Responder,
    RosterKeeper,
    Runner,
    SegmentKeeper,
    Sender,
    ShareBook,
    ShareBorrower,
    ShareMover,
    StatusKeeper,
    SubsetKeeper,
    TenureKeeper,
    Watcher,
)
from ..decisions.claims import derive_issuing_key
from ..decisions.limits import peer_of
from ..frontends.backends import HttpTransport
from ..frontends.callers import CallersApp
from ..frontends.http_server import HttpServer
from ..frontends.operators import OperatorsApp
from ..frontends.peers import PeerLinks, PeerServer
from ..frontends.platform import CONFIGURATION_OBJECT, ROSTER_OBJECT, HttpPlatform
from ..records import Host, Incarnation, Leaving
from ..settings import Settings
from ..utils import Clock, SystemClock

__all__ = ["Proxy", "build_proxy", "run_proxy"]

DRAIN_LIMIT_S = 30.0
SPREAD_ROUNDS = 6  # pulls until every host knows that this one leaves
OPERATOR_THREADS = 2
OPERATOR_CONNECTIONS = 50
OPERATOR_BODY_BYTES = 65536
WALL_DIGITS = 13
MS_PER_S = 1000

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class Proxy:
    """Hold the parts of one running host."""

    board: Board
    clock: Clock
    settings: Settings
    runner: Runner
    callers: HttpServer
    operators: HttpServer
    peers: PeerServer
    links: PeerLinks
    roster_keeper: RosterKeeper
    lease_keeper: LeaseKeeper
    share_mover: ShareMover
    claimant: Claimant
    handover: ClaimHandover

    def start(self) -> None:
        """Open the listeners and start the controllers; raise OSError if taken."""
        self.peers.start()
        self.operators.start()
        self.callers.start()
        self.runner.start()

    def stop(self) -> None:
        """Leave the address answers, finish the requests, then close everything."""
        self._announce()
        self.callers.stop_listening()
        self.callers.wait_idle(DRAIN_LIMIT_S)
        self.claimant.step()
        self.handover.hand_over()
        self.callers.close()
        self._leave()
        self.runner.stop()
        self.peers.close()
        self.links.close()
        self.operators.close()

    def _announce(self) -> None:
        """Tell all hosts, hand over, and wait until no caller keeps this address."""
        peers = self.settings.peers
        spread_s = SPREAD_ROUNDS * peers.pull_interval_s
        wait_s = spread_s + self.settings.callers.address_lifetime_s
        until_s = self.clock.monotonic_s() + wait_s
        self.board.write(STOP, Leaving(until_s=until_s), writer="stopper")
        self.callers.drain()
        threading.Event().wait(wait_s)

    def _leave(self) -> None:
        """Give up the lease, then the place in the roster, then the shares."""
        finished = Leaving(until_s=self.clock.monotonic_s(), finished=True)
        self.board.write(STOP, finished, writer="stopper")
        self.lease_keeper.step()
        self.roster_keeper.leave()
        self.share_mover.hand_over_all()
        self.share_mover.close()


def build_proxy(settings: Settings, secret: bytes) -> Proxy:
    """Return a host that is ready to start."""
    board = Board()
    clock = SystemClock()
    rng = Random()
    own = _describe_host(settings, clock)
    platform = HttpPlatform(
        url=settings.platform.url, timeout_s=settings.platform.timeout_s
    )
    links = PeerLinks(secret=secret)
    historian = Historian(board=board)
    accountant = Accountant(board=board)
    book = ShareBook(board=board, clock=clock, own=peer_of(own))
    share_mover = ShareMover(
        book=book,
        client=links,
        clock=clock,
        historian=historian,
        accountant=accountant,
    )
    puller = Puller(
        board=board,
        clock=clock,
        client=links,
        own=own,
        fanout=settings.peers.fanout,
        interval_s=settings.peers.pull_interval_s,
        seeds=settings.peers.seeds,
    )
    claim_owner = ClaimOwner(board=board, clock=clock, own=own)
    claimant = Claimant(
        board=board,
        clock=clock,
        client=links,
        own=own,
        owner=claim_owner,
        historian=historian,
        accountant=accountant,
        issuing_key=derive_issuing_key(secret),
    )
    roster_keeper = RosterKeeper(
        board=board,
        clock=clock,
        rng=rng,
        platform=platform,
        accountant=accountant,
        historian=historian,
        own=own,
        fanout=settings.peers.fanout,
    )
    segment_keeper = SegmentKeeper(
        board=board,
        rng=rng,
        platform=platform,
        client=links,
        accountant=accountant,
        own=own,
        fanout=settings.peers.fanout,
        seeds=settings.peers.seeds,
    )
    lease_keeper = LeaseKeeper(
        board=board,
        clock=clock,
        historian=historian,
        own=own,
        lease_s=settings.peers.lease_s,
    )
    health_judge = HealthJudge(board=board, clock=clock, accountant=accountant, own=own)
    transport = HttpTransport(clock=clock)
    canceller = Canceller(board=board, clock=clock, transport=transport)
    dispatcher = Dispatcher(
        board=board, clock=clock, rng=rng, bound=settings.callers.queue
    )
    controllers: tuple[Controller, ...] = (
        Watcher(
            board=board,
            clock=clock,
            rng=rng,
            platform=platform,
            accountant=accountant,
            own=own,
            object_name=CONFIGURATION_OBJECT,
            region=PLATFORM_CONFIGURATION,
        ),
        Watcher(
            board=board,
            clock=clock,
            rng=rng,
            platform=platform,
            accountant=accountant,
            own=own,
            object_name=ROSTER_OBJECT,
            region=PLATFORM_ROSTER,
        ),
        segment_keeper,
        Configurator(board=board, clock=clock, historian=historian),
        dispatcher,
        canceller,
        roster_keeper,
        StatusKeeper(board=board, clock=clock, own=own),
        SubsetKeeper(board=board, clock=clock, own=own),
        puller,
        lease_keeper,
        FenceKeeper(
            board=board,
            clock=clock,
            own=own,
            lease_s=settings.peers.lease_s,
            drift_margin_s=settings.peers.drift_margin_s,
        ),
        ShareBorrower(book=book, client=links, accountant=accountant),
        share_mover,
        health_judge,
        HealthReporter(
            board=board, clock=clock, client=links, judge=health_judge, own=own
        ),
        HealthKeeper(
            board=board,
            clock=clock,
            historian=historian,
            accountant=accountant,
            own=own,
        ),
        TenureKeeper(board=board, clock=clock, own=own),
        claim_owner,
        claimant,
    )
    responder = Responder(
        puller=puller,
        shares=book,
        health_judge=health_judge,
        claim_owner=claim_owner,
        segment_keeper=segment_keeper,
    )
    sender = Sender(
        board=board,
        clock=clock,
        rng=rng,
        transport=transport,
        dispatcher=dispatcher,
        canceller=canceller,
        accountant=accountant,
        domain=own.domain,
    )
    forwarder = Forwarder(
        board=board,
        clock=clock,
        historian=historian,
        accountant=accountant,
        limiter=Limiter(board=board, clock=clock, book=book, accountant=accountant),
        claimant=claimant,
        sender=sender,
    )

    address_lister = AddressLister(
        board=board,
        clock=clock,
        own=own,
        lifetime_s=settings.callers.address_lifetime_s,
        issue_prefix=claimant.issue_prefix,
    )
    return Proxy(
        board=board,
        clock=clock,
        settings=settings,
        runner=Runner(board=board, controllers=controllers),
        callers=HttpServer(
            address=own.callers,
            app=CallersApp(
                handle=forwarder.handle, list_addresses=address_lister.answer
            ),
            threads=settings.callers.threads + settings.callers.queue,
            max_body_bytes=settings.callers.max_body_bytes,
            connections=settings.callers.connections,
        ),
        operators=HttpServer(
            address=own.operators,
            app=OperatorsApp(board=board),
            threads=OPERATOR_THREADS,
            max_body_bytes=OPERATOR_BODY_BYTES,
            connections=OPERATOR_CONNECTIONS,
        ),
        peers=PeerServer(
            address=own.peers,
            secret=secret,
            answer=responder.answer,
            count_refused=partial(accountant.count, "peer_frames_refused"),
        ),
        links=links,
        roster_keeper=roster_keeper,
        lease_keeper=lease_keeper,
        share_mover=share_mover,
        claimant=claimant,
        handover=ClaimHandover(board=board, clock=clock, client=links, own=own),
    )


def run_proxy(settings: Settings, secret: bytes) -> None:
    """Run a host until SIGTERM or SIGINT, then stop it gracefully."""
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


def _describe_host(settings: Settings, clock: Clock) -> Host:
    started_ms = int(clock.wall_s() * MS_PER_S)
    incarnation = f"{started_ms:0{WALL_DIGITS}d}-{uuid.uuid4().hex[:8]}"
    return Host(
        host_id=settings.host.id,
        incarnation=Incarnation(incarnation),
        domain=settings.host.domain,
        callers=settings.listen.callers,
        peers=settings.listen.peers,
        operators=settings.listen.operators,
    )
