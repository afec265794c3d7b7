"""Build the parts of a host on the users' platform."""

import uuid
from typing import TypeVar

from attrs import define

from ..blackboard import Region
from ..blackboard.regions import CONFIGURATION_FEED, SERVER_FEED
from ..controllers import (
    BodyKeeper,
    CatalogBuilder,
    ConfigurationFollower,
    Controller,
    DomainAddressLister,
    Feed,
    FeedFollower,
    Forwarder,
    HostRegistrar,
    StoreLeaseManager,
)
from ..decisions.catalog import RetryBounds
from ..decisions.domains import AddressListLimits
from ..frontends.http_server import HttpServer, WsgiApp
from ..frontends.operators import OperatorsApp
from ..platform.callers import PlatformCallersApp
from ..platform.directory import DirectoryApp, ReadinessApp
from ..platform.feeds import HostRegistry, configuration_feed, server_feed
from ..platform.store import ObjectStore
from ..records import Address, FeedView, Host, Incarnation, PublishedHost
from ..settings import GatewaySettings
from .core import Core, make_core

__all__ = [
    "LEASE_MARGIN_S",
    "NOTICE_SHARE",
    "RELAY_SHARE",
    "WATCH_SHARE",
    "Base",
    "build_callers",
    "build_followers",
    "build_small_servers",
    "count_threads",
    "make_base",
]

T = TypeVar("T")

NOTICE_SHARE = 0.4  # of the revocation bound, at most, until a change is noticed
WATCH_SHARE = 0.25  # of that time: a watch confirms as of its start
RELAY_SHARE = 0.7  # of that time, without which a host asks by itself
SERVER_WATCH_S = 20.0  # keep-alive probes find a silent connection sooner
LEASE_MARGIN_S = 0.5  # from the end of the lease to the last use of a key
RETRY_SAFETY = 0.8  # of the retry budget, which each host keeps for itself
GRACE_MARGIN_S = 0.2  # of the time until a server that left gets nothing
SMALL_THREADS = 2
SMALL_CONNECTIONS = 200
SMALL_BODY_BYTES = 65536
THREAD_BYTES = 2 * 1024 * 1024  # of memory that stand behind each thread
MAX_THREADS = 256
BODY_SHARE = 0.25  # of the memory, for bodies of requests
CONNECTION_SHARE = 0.6  # of the descriptors, for callers
MAX_BODY_BYTES = 64 * 1024 * 1024 + 1  # the largest body of the platform is accepted


@define(kw_only=True, eq=False)
class Base:
    """Hold what every part of one host is built from."""

    core: Core
    settings: GatewaySettings
    own: PublishedHost
    incarnation: Incarnation
    store: ObjectStore

    def describe_host(self) -> Host:
        """Return the host as the product's routing knows it."""
        return Host(
            host_id=self.own.host_id,
            incarnation=self.incarnation,
            domain=self.own.domain,
            callers=self.own.callers,
            peers=self.own.peers,
            operators=self.settings.listen.operators,
        )


def make_base(settings: GatewaySettings) -> Base:
    """Return what a new process of this host starts with."""
    platform = settings.platform
    return Base(
        core=make_core(),
        settings=settings,
        own=PublishedHost(
            host_id=settings.host.id,
            domain=settings.host.domain,
            callers=settings.listen.callers,
            peers=settings.listen.peers,
        ),
        incarnation=Incarnation(uuid.uuid4().hex),
        store=ObjectStore(address=platform.store, timeout_s=platform.timeout_s),
    )


def count_threads(settings: GatewaySettings) -> int:
    """Return how many requests the host serves at once."""
    return min(MAX_THREADS, settings.callers.memory_bytes // THREAD_BYTES)


def build_followers(base: Base) -> tuple[Controller, ...]:
    """Return the controllers that follow the store."""
    core, platform = base.core, base.settings.platform
    configurations = configuration_feed(base.store)
    notice_s = min(platform.apply_s, NOTICE_SHARE * platform.revoke_s)
    watch_s, limit_s = WATCH_SHARE * notice_s, RELAY_SHARE * notice_s
    keeper = _build_keeper(core, configurations, CONFIGURATION_FEED, watch_s)
    return (
        ConfigurationFollower(feed_follower=keeper, limit_s=limit_s),
        _build_keeper(core, server_feed(base.store), SERVER_FEED, SERVER_WATCH_S),
        _build_registrar(base),
        CatalogBuilder(
            board=core.board,
            clock=core.clock,
            historian=core.historian,
            grace_s=platform.drain_s - GRACE_MARGIN_S,
            retries=RetryBounds(
                share=RETRY_SAFETY * base.settings.retries.share,
                reserve=RETRY_SAFETY * base.settings.retries.slack,
            ),
        ),
        StoreLeaseManager(
            board=core.board,
            clock=core.clock,
            historian=core.historian,
            lease_s=platform.revoke_s - LEASE_MARGIN_S,
        ),
    )


def _build_keeper(
    core: Core, feed: Feed[T], region: Region[FeedView[T]], wait_s: float
) -> FeedFollower[T]:
    return FeedFollower(
        board=core.board,
        clock=core.clock,
        rng=core.rng,
        historian=core.historian,
        accountant=core.accountant,
        feed=feed,
        region=region,
        wait_s=wait_s,
    )


def _build_registrar(base: Base) -> HostRegistrar:
    core, registry = base.core, HostRegistry(store=base.store)
    return HostRegistrar(
        board=core.board,
        clock=core.clock,
        rng=core.rng,
        historian=core.historian,
        accountant=core.accountant,
        registry=registry,
        feed=registry.feed(),
        own_host=base.own,
    )


def build_callers(base: Base, forwarder: Forwarder, threads: int) -> HttpServer:
    """Return the listener of callers."""
    options = base.settings.callers
    return HttpServer(
        address=base.own.callers,
        app=PlatformCallersApp(handle=forwarder.handle),
        threads=threads,
        max_body_bytes=MAX_BODY_BYTES,
        connections=int(options.descriptors * CONNECTION_SHARE),
        bodies=BodyKeeper(
            board=base.core.board, limit_bytes=int(options.memory_bytes * BODY_SHARE)
        ),
    )


def build_small_servers(base: Base) -> tuple[HttpServer, ...]:
    """Return the listeners for readiness, addresses and operators."""
    settings = base.settings
    book = DomainAddressLister(
        board=base.core.board,
        clock=base.core.clock,
        rng=base.core.rng,
        own_host=base.own,
        address_limits=AddressListLimits(
            lifetime_s=settings.callers.address_lifetime_s
        ),
    )
    listen = settings.listen
    return (
        _small_server(listen.readiness, ReadinessApp(is_ready=book.is_ready)),
        _small_server(listen.directory, DirectoryApp(list_addresses=book.answer)),
        _small_server(listen.operators, OperatorsApp(board=base.core.board)),
    )


def _small_server(address: Address, app: WsgiApp) -> HttpServer:
    return HttpServer(
        address=address,
        app=app,
        threads=SMALL_THREADS,
        max_body_bytes=SMALL_BODY_BYTES,
        connections=SMALL_CONNECTIONS,
    )
