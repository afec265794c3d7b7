"""Test the controllers that follow the platform's store with a scripted feed."""

from random import Random
from typing import Any

import pytest
from attrs import define, evolve, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION,
    CONFIGURATION_FEED,
    LEASE,
    RELAY_NOTICE,
    SERVER_FEED,
    STORE_REACH,
    STORE_RELAY,
)
from snipespring.controllers import (
    CatalogBuilder,
    ConfigurationFollower,
    EventRecorder,
    FeedFollower,
    MetricsRecorder,
    StoreLeaseManager,
    StoreProbe,
)
from snipespring.daemons.gateway_parts import (
    LEASE_MARGIN_S,
    WATCH_FRACTION,
)
from snipespring.decisions.catalog import RetryBounds
from snipespring.decisions.confirmations import RelayLimits, make_notice
from snipespring.records import (
    Address,
    AvailableSpan,
    Configuration,
    DomainName,
    FeedChanges,
    FeedGap,
    FeedItem,
    FeedListing,
    FeedUnavailable,
    FeedView,
    HostId,
    LeaseHeld,
    LeaseLapsed,
    PublishedServer,
    RelayedVersion,
    RelayNotice,
    ServiceName,
    ServiceRule,
    StoreRelay,
)
from snipespring.utils import ManualClock

LEASE_S = 4.5
SERVICE = ServiceName("ledger")
LIMITS = RelayLimits(confirmed_s=3.6, reached_s=1.4)


@define(kw_only=True, eq=False)
class ScriptedFeed:
    """Give scripted answers, each after `delay_s` seconds."""

    clock: ManualClock
    listings: list[Any] = field(factory=list)
    answers: list[Any] = field(factory=list)
    delay_s: float = 0.0
    watched_after: list[int] = field(factory=list)

    def list_items(self, *, may_be_stale: bool = False) -> Any:
        self.clock.advance(self.delay_s)
        return self.listings.pop(0)

    def watch(self, *, after: int, wait_s: float) -> Any:
        self.watched_after.append(after)
        self.clock.advance(self.delay_s)
        return self.answers.pop(0)


def cfg(version: int) -> Configuration:
    rule = ServiceRule(name=SERVICE, asked_by="a test")
    return Configuration(version=version, services=Map({SERVICE: rule}))


def item(version: int) -> FeedItem[Any]:
    return FeedItem(name="main", revision=version, content=cfg(version))


@define(kw_only=True, eq=False)
class Followers:
    """Group the board and the following controllers of one host."""

    clock: ManualClock = field(factory=ManualClock)
    board: Board = field(factory=Board)
    feed: ScriptedFeed = field(init=False)
    feed_follower: FeedFollower[Configuration] = field(init=False)
    catalog_builder: CatalogBuilder = field(init=False)
    lease: StoreLeaseManager = field(init=False)

    def __attrs_post_init__(self) -> None:
        event_recorder = EventRecorder(board=self.board)
        self.feed = ScriptedFeed(clock=self.clock)
        self.feed_follower = FeedFollower(
            board=self.board,
            clock=self.clock,
            rng=Random(1),
            event_recorder=event_recorder,
            metrics=MetricsRecorder(board=self.board),
            feed=self.feed,
            region=CONFIGURATION_FEED,
            lists_when_behind=True,
            wait_s=3.0,
            outage_s=3.0,
        )
        self.catalog_builder = CatalogBuilder(
            board=self.board,
            clock=self.clock,
            event_recorder=event_recorder,
            metrics=MetricsRecorder(board=self.board),
            grace_s=1.8,
            outage_s=3.0,
            retries=RetryBounds(share=0.16, reserve=44.0),
        )
        self.lease = StoreLeaseManager(
            board=self.board,
            clock=self.clock,
            event_recorder=event_recorder,
            lease_s=LEASE_S,
        )

    def step(self) -> None:
        self.feed_follower.step()
        self.catalog_builder.step()
        self.lease.step()


def start_followers() -> Followers:
    followers = Followers()
    listing = FeedListing(items=(item(4),), revision=7)
    followers.feed.listings.append(listing)
    followers.step()
    return followers


def test_first_listing_activates_the_configuration_and_the_lease() -> None:
    followers = start_followers()
    active = followers.board.read(CONFIGURATION)
    assert active.version == 4
    assert active.services[SERVICE].retry_reserve == 44.0
    assert isinstance(followers.board.read(LEASE), LeaseHeld)


def test_lease_starts_when_the_query_was_sent() -> None:
    followers = start_followers()
    sent_s = followers.clock.now_s
    followers.feed.delay_s = 3.0
    followers.feed.answers.append(FeedChanges(changes=(), revision=7))
    followers.step()
    assert followers.board.read(LEASE) == LeaseHeld(until_s=sent_s + LEASE_S)


def test_lease_outlasts_the_watches_that_renew_it() -> None:
    followers = start_followers()
    revoke_s = LEASE_S + LEASE_MARGIN_S
    followers.feed.delay_s = WATCH_FRACTION * revoke_s
    for _ in range(20):
        followers.feed.answers.append(FeedChanges(changes=(), revision=7))
        followers.feed_follower.step()
        lease = followers.board.read(LEASE)
        assert isinstance(lease, LeaseHeld)
        # The lease leaves time for one more call that fails.
        assert followers.clock.now_s + followers.feed.delay_s <= lease.until_s
        followers.lease.step()


def test_lease_lapses_while_the_store_is_unavailable() -> None:
    followers = start_followers()
    followers.feed.delay_s = 1.0
    for _ in range(5):
        followers.feed.answers.append(FeedUnavailable(reason="no answer"))
        followers.feed.listings.append(FeedUnavailable(reason="no answer"))
        followers.step()
    assert isinstance(followers.board.read(LEASE), LeaseLapsed)
    followers.feed.listings = [FeedListing(items=(item(5),), revision=9)]
    followers.step()
    assert isinstance(followers.board.read(LEASE), LeaseHeld)
    assert followers.board.read(CONFIGURATION).version == 5


def test_failed_call_does_not_confirm_the_feed() -> None:
    followers = start_followers()
    known = followers.board.read(CONFIGURATION_FEED)
    followers.clock.advance(10.0)
    followers.feed.answers.append(FeedUnavailable(reason="no answer"))
    followers.step()
    assert followers.board.read(CONFIGURATION_FEED) == known
    assert followers.board.read(CONFIGURATION).version == 4


def test_older_version_is_never_activated() -> None:
    followers = start_followers()
    followers.feed.answers.append(FeedChanges(changes=(item(6),), revision=9))
    followers.step()
    followers.feed.answers.append(FeedChanges(changes=(item(5),), revision=10))
    followers.step()
    assert followers.board.read(CONFIGURATION).version == 6


def test_watch_continues_from_the_newest_revision_and_lists_after_a_gap() -> None:
    followers = start_followers()
    followers.feed.answers += [FeedChanges(changes=(), revision=12), FeedGap()]
    followers.feed.listings.append(FeedListing(items=(item(8),), revision=30))
    for _ in range(3):
        followers.step()
    assert followers.feed.watched_after == [7, 12]
    assert followers.board.read(CONFIGURATION).version == 8


def test_draining_server_leaves_the_configuration_at_once() -> None:
    followers = start_followers()
    server = PublishedServer(
        instance="i-1",
        born_ms=1,
        service=SERVICE,
        address=Address(ip="10.0.0.1", port=1),
        domain=DomainName("local"),
        slots=3,
        is_draining=False,
        warmup_s=0.0,
    )
    span = AvailableSpan(since_s=0.0, until_s=900.0)
    view = FeedView(items=Map({"i-1": server}), available=span)
    followers.board.write(SERVER_FEED, view, writer="server_feed")
    followers.catalog_builder.step()
    assert len(followers.board.read(CONFIGURATION).servers[SERVICE]) == 1
    removed = evolve(view, removed_s=Map({"i-1": 900.0}))
    followers.board.write(SERVER_FEED, removed, writer="server_feed")
    followers.catalog_builder.step()
    assert SERVICE not in followers.board.read(CONFIGURATION).servers


def relay_confirmation(
    followers: Followers, version: int, *, is_watcher: bool = False
) -> None:
    now_s = followers.clock.now_s
    relayed = RelayedVersion(version=version, confirmed_s=now_s, reached_s=now_s)
    relay = StoreRelay(is_watcher=is_watcher, relayed=relayed)
    followers.board.write(STORE_RELAY, relay, writer="domain_link")


def test_relayed_confirmations_renew_the_lease_without_store_calls() -> None:
    followers = start_followers()
    follower = ConfigurationFollower(
        feed_follower=followers.feed_follower, limits=LIMITS
    )
    for _ in range(20):
        followers.clock.advance(1.0)
        relay_confirmation(followers, 4)
        assert follower.step() == pytest.approx(1.4)
        followers.lease.step()
        assert isinstance(followers.board.read(LEASE), LeaseHeld)
    assert followers.feed.watched_after == []


def test_relayed_newer_version_is_read_by_a_stale_read_if_that_has_it() -> None:
    followers = start_followers()
    follower = ConfigurationFollower(
        feed_follower=followers.feed_follower, limits=LIMITS
    )
    followers.clock.advance(1.0)
    relay_confirmation(followers, 5)
    followers.feed.listings.append(FeedListing(items=(item(5),), revision=8))
    follower.step()
    followers.catalog_builder.step()
    assert followers.board.read(CONFIGURATION).version == 5
    assert followers.feed.watched_after == []
    follower.step()
    confirmed_s = followers.board.read(CONFIGURATION_FEED).confirmed_s
    assert confirmed_s == followers.clock.now_s


@pytest.mark.parametrize("stale_version", [3, 4])
def test_relayed_newer_version_is_read_from_the_store(stale_version: int) -> None:
    followers = start_followers()
    follower = ConfigurationFollower(
        feed_follower=followers.feed_follower, limits=LIMITS
    )
    relay_confirmation(followers, 5)
    stale = FeedListing(items=(item(stale_version),), revision=stale_version)
    followers.feed.listings.append(stale)
    confirmed_s = followers.board.read(CONFIGURATION_FEED).confirmed_s
    followers.clock.advance(0.2)
    followers.feed.listings.append(FeedUnavailable(reason="no answer"))
    pause_s = follower.step()
    feed = followers.board.read(CONFIGURATION_FEED)
    assert (feed.confirmed_s, feed.items["main"].version) == (confirmed_s, 4)
    followers.clock.advance(pause_s)
    followers.feed.listings.append(FeedListing(items=(item(5),), revision=9))
    follower.step()
    followers.catalog_builder.step()
    assert followers.board.read(CONFIGURATION).version == 5


def test_relayed_version_does_not_repeat_a_failed_query_early() -> None:
    followers = start_followers()
    follower = ConfigurationFollower(
        feed_follower=followers.feed_follower, limits=LIMITS
    )
    followers.clock.advance(3.0)
    followers.feed.answers.append(FeedUnavailable(reason="no answer"))
    pause_s = follower.step()
    relay_confirmation(followers, 5)
    assert follower.step() == pytest.approx(pause_s)
    assert len(followers.feed.watched_after) == 1


@define(kw_only=True, eq=False)
class FakeProbedStore:
    """Answer probes until it is cut off."""

    probes: int = 0
    is_cut: bool = False

    def probe(self, host_id: HostId) -> FeedUnavailable | None:
        self.probes += 1
        return FeedUnavailable(reason="cut") if self.is_cut else None


def test_only_the_watching_host_probes_the_store() -> None:
    board, clock, store = Board(), ManualClock(), FakeProbedStore()
    probe = StoreProbe(
        board=board,
        clock=clock,
        metrics=MetricsRecorder(board=board),
        store=store,
        host_id=HostId("own"),
        interval_s=0.5,
        outage_s=3.0,
    )
    board.write(RELAY_NOTICE, RelayNotice(is_watcher=False), writer="domain_link")
    assert probe.step() is None
    board.write(RELAY_NOTICE, RelayNotice(is_watcher=True), writer="domain_link")
    started_s = clock.monotonic_s()
    for _ in range(4):
        assert probe.step() == 0.5
        assert probe.step() == 0.5
        assert board.read(STORE_REACH).reached_s == clock.monotonic_s()
        clock.advance(0.5)
    assert store.probes == 4
    store.is_cut = True
    probe.step()
    assert board.read(STORE_REACH).reached_s == started_s + 1.5


def test_first_relayed_reach_wakes_a_probe_that_knew_of_none() -> None:
    # Guards against a host that hears the version before the reach, and whose probe
    # sleeps on: without a probe it never queries a store that its hubs do not reach.
    board, clock, store = Board(), ManualClock(), FakeProbedStore()
    probe = StoreProbe(
        board=board,
        clock=clock,
        metrics=MetricsRecorder(board=board),
        store=store,
        host_id=HostId("own"),
        interval_s=0.5,
        outage_s=3.0,
    )
    stated = StoreRelay(stated_version=5)
    board.write(RELAY_NOTICE, make_notice(stated), writer="domain_link")
    assert probe.step() is None
    subscription = board.subscribe(probe.watches)
    reached_s = clock.monotonic_s()
    relayed = RelayedVersion(version=5, confirmed_s=reached_s, reached_s=reached_s)
    relay = evolve(stated, relayed=relayed)
    board.write(STORE_RELAY, relay, writer="domain_link")
    notice = make_notice(relay)
    board.update(
        RELAY_NOTICE,
        lambda old: old if old == notice else notice,
        writer="domain_link",
    )
    assert subscription.wait(0.0)
    assert probe.step() == pytest.approx(probe.relay_limit_s)
    clock.advance(probe.relay_limit_s)
    probe.step()
    assert store.probes == 1


def test_only_the_newest_configuration_is_read_after_an_outage() -> None:
    followers = start_followers()
    followers.feed.answers.append(FeedUnavailable(reason="cut off"))
    followers.feed_follower.step()
    watched = len(followers.feed.watched_after)
    followers.feed.listings.append(FeedListing(items=(item(9),), revision=9))
    followers.feed_follower.step()
    followers.catalog_builder.step()
    assert followers.board.read(CONFIGURATION).version == 9
    assert len(followers.feed.watched_after) == watched
