"""Build the parts of a gateway, a host on the users' platform."""

import uuid
from typing import TypeVar

from attrs import define

from ..blackboard import Region
from ..blackboard.regions import CONFIGURATION_FEED, EVACUATION_FEED, SERVER_FEED
from ..controllers import (
    BodyMemoryLimiter,
    CatalogBuilder,
    ConfigurationFollower,
    Controller,
    DomainAddressLister,
    EraTracker,
    EvacuationFollower,
    Feed,
    FeedFollower,
    Forwarder,
    HostRegistrar,
    PlaceReporter,
    ReadinessReporter,
    RegistrationChecker,
    ServerFollower,
    StoreLeaseManager,
    StoreProbe,
    list_unready_reasons,
)
from ..decisions.catalog import RetryBounds
from ..decisions.confirmations import RelayLimits
from ..decisions.domains import AddressListLimits
from ..decisions.first_reads import FirstReadLimits
from ..decisions.outages import shortest_outage_s
from ..decisions.routing import WarmupBounds
from ..frontends.http_server import HttpServer, WsgiApp
from ..frontends.operators import OperatorsApp
from ..platform.callers import PlatformCallersApp
from ..platform.directory import DirectoryApp, ReadinessApp
from ..platform.feeds import (
    HostRegistry,
    configuration_feed,
    evacuation_feed,
    server_feed,
)
from ..platform.store import ObjectStoreClient
from ..records import (
    Address,
    EvacuationMark,
    FeedView,
    Host,
    HostCapacity,
    Incarnation,
    PublishedHost,
    RegionMap,
    RetryBound,
)
from ..settings import GatewayServerSettings, GatewaySettings
from .process_context import ProcessContext, make_process_context

__all__ = [
    "LEASE_MARGIN_S",
    "NOTICE_FRACTION",
    "RELAY_FRACTION",
    "WATCH_FRACTION",
    "GatewayContext",
    "build_body_limiter",
    "build_callers_server",
    "build_evacuation_follower",
    "build_place_reporter",
    "build_readiness_reporter",
    "build_server_follower",
    "build_store_followers",
    "build_auxiliary_servers",
    "compute_thread_count",
    "ignore_evacuations",
    "make_gateway_context",
    "make_warmup_bounds",
]

T = TypeVar("T")

# A host notices a configuration change within at most this fraction of the time in
# which a revoked key has to be refused.
NOTICE_FRACTION = 0.4
# Longest watch, as a fraction of the time in which a revoked key has to be refused. A
# watch confirms the configuration as of the time when the watch began, so that the age
# of a confirmation reaches twice the length of a watch. Older ones would let all hosts
# call the store at the beginning of an outage.
WATCH_FRACTION = 0.24
# A host queries the store itself after this fraction of that time without a newer
# confirmation,
CONFIRMED_FRACTION = 0.72
# or after this fraction of the notice time in which the watching host did not show that
# it reaches the store, but in time to read a change within the time allowed for it.
RELAY_FRACTION = 0.7
READ_TIME_S = 0.9
# The watching host probes the store this often, as a fraction of the notice time.
PROBE_FRACTION = 0.25
# Longest watch of the list of servers. It may be long, since keep-alive probes detect
# a dead connection sooner.
SERVER_WATCH_TIMEOUT_S = 20.0
# At the first start of a fleet, its hosts are known after 5 to 10 s.
FIRST_START_READS = FirstReadLimits(hosts_s=8.0, relay_s=1.5)
# The lease ends this long before the last time when a revoked key may be used.
LEASE_MARGIN_S = 0.5
# Safety factor: a host that does not hear the others enforces the retry budget by
# itself, at this fraction of it.
RETRY_BUDGET_FRACTION = 0.8
# Requests to a removed server end this long before the platform requires it.
DRAIN_MARGIN_S = 0.2
AUXILIARY_THREADS = 2
AUXILIARY_CONNECTIONS = 200
MAX_AUXILIARY_BODY_BYTES = 65536
MEMORY_PER_THREAD_BYTES = 2 * 1024 * 1024  # reserved for each thread
MAX_THREADS = 256
BODY_MEMORY_FRACTION = 0.25  # of the setting memory_bytes, for bodies in memory
CONNECTION_FRACTION = 0.6  # of the setting descriptors, for callers' connections
# Waitress refuses a body of exactly this size; the platform's largest is 64 MiB.
MAX_BODY_BYTES = 64 * 1024 * 1024 + 1


@define(kw_only=True, eq=False)
class GatewayContext:
    """Group the objects that all parts of one gateway process share."""

    process: ProcessContext
    settings: GatewaySettings
    own_host: PublishedHost
    incarnation: Incarnation
    store: ObjectStoreClient

    @property
    def outage_s(self) -> float:
        """Return the shortest outage of the store in which entries can lapse."""
        return shortest_outage_s(self.settings.platform.heartbeat_s)

    def describe_host(self) -> Host:
        """Return this host in the form that request routing uses."""
        return Host(
            host_id=self.own_host.host_id,
            incarnation=self.incarnation,
            domain=self.own_host.domain,
            callers=self.own_host.callers,
            peers=self.own_host.peers,
            operators=self.settings.listen.operators,
        )


def make_gateway_context(settings: GatewaySettings) -> GatewayContext:
    """Create the context of a new incarnation of this host."""
    platform, process = settings.platform, make_process_context()
    eras = EraTracker(
        board=process.board,
        clock=process.clock,
        event_recorder=process.event_recorder,
        metrics=process.metrics,
    )
    return GatewayContext(
        process=process,
        settings=settings,
        own_host=PublishedHost(
            host_id=settings.host.id,
            domain=settings.host.domain,
            callers=settings.listen.callers,
            peers=settings.listen.peers,
            capacity=HostCapacity(
                cores=settings.callers.cpu_share * settings.callers.cores,
                link_mbps=settings.callers.link_mbps,
            ),
        ),
        incarnation=Incarnation(uuid.uuid4().hex),
        store=ObjectStoreClient(
            address=platform.store,
            timeout_s=platform.timeout_s,
            record_era=eras.record,
        ),
    )


def compute_thread_count(settings: GatewaySettings) -> int:
    """Return how many requests the host serves concurrently."""
    return min(MAX_THREADS, settings.callers.memory_bytes // MEMORY_PER_THREAD_BYTES)


def build_store_followers(context: GatewayContext) -> tuple[Controller, ...]:
    """Build the controllers that follow the platform's store."""
    process, platform = context.process, context.settings.platform
    configurations = configuration_feed(context.store)
    notice_s = _compute_notice_s(context)
    follower = _build_feed_follower(
        context,
        configurations,
        CONFIGURATION_FEED,
        WATCH_FRACTION * platform.revoke_s,
        lists_when_behind=True,
    )
    limits = RelayLimits(
        confirmed_s=CONFIRMED_FRACTION * platform.revoke_s,
        reached_s=_compute_relay_limit_s(context),
    )
    return (
        ConfigurationFollower(feed_follower=follower, limits=limits),
        StoreProbe(
            board=process.board,
            clock=process.clock,
            metrics=process.metrics,
            store=HostRegistry(store=context.store),
            host_id=context.own_host.host_id,
            interval_s=PROBE_FRACTION * notice_s,
            outage_s=context.outage_s,
            relay_limit_s=limits.reached_s,
            rng=process.rng,
        ),
        _build_registrar(context),
        RegistrationChecker(
            board=process.board,
            clock=process.clock,
            rng=process.rng,
            event_recorder=process.event_recorder,
            metrics=process.metrics,
            registry=HostRegistry(store=context.store),
            own_host=context.own_host,
        ),
        CatalogBuilder(
            board=process.board,
            clock=process.clock,
            event_recorder=process.event_recorder,
            metrics=process.metrics,
            grace_s=platform.drain_s - DRAIN_MARGIN_S,
            outage_s=context.outage_s,
            retries=RetryBounds(
                share=RETRY_BUDGET_FRACTION * context.settings.retries.share,
                reserve=RETRY_BUDGET_FRACTION * context.settings.retries.slack,
                fleet=RetryBound(
                    share=context.settings.retries.share,
                    slack=context.settings.retries.slack,
                    window_s=context.settings.retries.window_s,
                ),
            ),
            warmups=make_warmup_bounds(context.settings.servers),
            regions=_make_region_map(context.settings),
        ),
        StoreLeaseManager(
            board=process.board,
            clock=process.clock,
            event_recorder=process.event_recorder,
            lease_s=platform.revoke_s - LEASE_MARGIN_S,
        ),
    )


def make_warmup_bounds(servers: GatewayServerSettings) -> WarmupBounds | None:
    """Return the bounds for cold servers, None if the settings name neither."""
    match servers:
        case GatewayServerSettings(warmup_overshoot=None, warmup_slack=None):
            return None
        case GatewayServerSettings(warmup_overshoot=overshoot, warmup_slack=slack):
            return WarmupBounds(overshoot=overshoot or 0.0, slack=slack or 0.0)


def build_server_follower(context: GatewayContext) -> ServerFollower:
    """Build the controller that follows the registered servers."""
    follower = _build_feed_follower(
        context,
        server_feed(context.store),
        SERVER_FEED,
        SERVER_WATCH_TIMEOUT_S,
    )
    return ServerFollower(
        feed_follower=follower, limit_s=_compute_relay_limit_s(context)
    )


def build_evacuation_follower(context: GatewayContext) -> EvacuationFollower | None:
    """Build the controller that follows evacuations, None without a bound for them."""
    evacuate_s = context.settings.platform.evacuate_s
    if evacuate_s is None:
        return None
    follower = _build_feed_follower(
        context,
        evacuation_feed(context.store),
        EVACUATION_FEED,
        SERVER_WATCH_TIMEOUT_S,
        lists_when_behind=True,
    )
    notice_s = min(NOTICE_FRACTION * evacuate_s, _compute_notice_s(context))
    return EvacuationFollower(feed_follower=follower, limit_s=RELAY_FRACTION * notice_s)


def ignore_evacuations(_mark: EvacuationMark | None, _reached_s: float | None) -> None:
    """Ignore what digests state of evacuations."""


def build_place_reporter(context: GatewayContext) -> PlaceReporter:
    """Build the controller that reports the use of places."""
    process = context.process
    return PlaceReporter(
        board=process.board,
        clock=process.clock,
        event_recorder=process.event_recorder,
        metrics=process.metrics,
        own_host=context.own_host,
        regions=_make_region_map(context.settings),
    )


def build_readiness_reporter(context: GatewayContext) -> ReadinessReporter:
    """Build the controller that reports why the host is not ready."""
    process = context.process
    return ReadinessReporter(
        board=process.board,
        clock=process.clock,
        event_recorder=process.event_recorder,
        metrics=process.metrics,
    )


def _make_region_map(settings: GatewaySettings) -> RegionMap:
    return RegionMap(
        own_domain=settings.host.domain,
        own_region=settings.host.region,
        by_domain=settings.regions,
    )


def _compute_relay_limit_s(context: GatewayContext) -> float:
    """Return after how many seconds without a relayed reach a host asks the store."""
    platform = context.settings.platform
    limit_s = RELAY_FRACTION * _compute_notice_s(context)
    left_s = min(platform.apply_s, platform.drain_s) - READ_TIME_S
    return min(limit_s, max(left_s, limit_s / 2.0))


def _compute_notice_s(context: GatewayContext) -> float:
    """Return the time within which a host notices a change in the store."""
    platform = context.settings.platform
    return min(platform.apply_s, platform.drain_s, NOTICE_FRACTION * platform.revoke_s)


def _build_feed_follower(
    context: GatewayContext,
    feed: Feed[T],
    region: Region[FeedView[T]],
    wait_s: float,
    *,
    lists_when_behind: bool = False,
) -> FeedFollower[T]:
    process = context.process
    return FeedFollower(
        board=process.board,
        clock=process.clock,
        rng=process.rng,
        event_recorder=process.event_recorder,
        metrics=process.metrics,
        feed=feed,
        region=region,
        wait_s=wait_s,
        outage_s=context.outage_s,
        lists_when_behind=lists_when_behind,
        first_reads=FIRST_START_READS
        if context.settings.host.bootstrap
        else FirstReadLimits(),
    )


def _build_registrar(context: GatewayContext) -> HostRegistrar:
    process, registry = context.process, HostRegistry(store=context.store)
    return HostRegistrar(
        board=process.board,
        clock=process.clock,
        rng=process.rng,
        event_recorder=process.event_recorder,
        metrics=process.metrics,
        registry=registry,
        feed=registry.feed(),
        own_host=context.own_host,
        is_first_start=context.settings.host.bootstrap,
    )


def build_body_limiter(context: GatewayContext) -> BodyMemoryLimiter:
    """Build the limiter of the bodies of requests and answers in memory."""
    memory_bytes = context.settings.callers.memory_bytes
    return BodyMemoryLimiter(
        board=context.process.board,
        max_bytes=int(memory_bytes * BODY_MEMORY_FRACTION),
    )


def build_callers_server(
    context: GatewayContext,
    forwarder: Forwarder,
    body_limiter: BodyMemoryLimiter,
    threads: int,
) -> HttpServer:
    """Build the HTTP server for callers."""
    options = context.settings.callers
    return HttpServer(
        address=context.own_host.callers,
        app=PlatformCallersApp(handle=forwarder.handle),
        threads=threads,
        max_head_bytes=options.max_head_bytes,
        max_body_bytes=MAX_BODY_BYTES,
        connections=int(options.descriptors * CONNECTION_FRACTION),
        body_budget=body_limiter,
    )


def build_auxiliary_servers(context: GatewayContext) -> tuple[HttpServer, ...]:
    """Build the HTTP servers for readiness, address lists and operators."""
    settings, process = context.settings, context.process
    address_lister = DomainAddressLister(
        board=process.board,
        clock=process.clock,
        rng=process.rng,
        own_host=context.own_host,
        address_limits=AddressListLimits(
            lifetime_s=settings.callers.address_lifetime_s
        ),
    )
    listen = settings.listen
    return (
        _make_auxiliary_server(
            listen.readiness,
            ReadinessApp(
                list_unready_reasons=lambda: list_unready_reasons(
                    process.board, process.clock.monotonic_s()
                )
            ),
        ),
        _make_auxiliary_server(
            listen.directory, DirectoryApp(list_addresses=address_lister.answer)
        ),
        _make_auxiliary_server(listen.operators, OperatorsApp(board=process.board)),
    )


def _make_auxiliary_server(address: Address, app: WsgiApp) -> HttpServer:
    return HttpServer(
        address=address,
        app=app,
        threads=AUXILIARY_THREADS,
        max_body_bytes=MAX_AUXILIARY_BODY_BYTES,
        connections=AUXILIARY_CONNECTIONS,
    )
