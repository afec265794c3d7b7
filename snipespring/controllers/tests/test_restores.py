"""Test how hosts call the store and each other after a restore of the store."""

from random import Random
from typing import Any

from attrs import define, evolve, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION_FEED,
    COUNTERS,
    RELAY_NOTICE,
    SERVER_FEED,
    STORE_REACH,
    STORE_RELAY,
)
from snipespring.controllers import (
    EraTracker,
    EventRecorder,
    FeedFollower,
    MetricsRecorder,
    RegistrationChecker,
    ServerFollower,
)
from snipespring.records import (
    Configuration,
    FeedChanges,
    FeedGap,
    FeedListing,
    FeedUnavailable,
    FeedView,
    PublishedHost,
    PublishedServer,
    RelayNotice,
    StoreReach,
)
from snipespring.utils import ManualClock

from .domain_fleet import SmallFleet, host

HOSTS = 300
READS_PER_S = 6000
CALLS_PER_LISTING = 3  # pages of 150 servers
LOST_S = 20.0


@define(kw_only=True, eq=False)
class RestoredStore:
    """Answer in an era and record the time of each listing."""

    clock: ManualClock
    era: int = 0
    listed_s: list[float] = field(factory=list)
    registered: bool = True
    checks: int = 0

    def list_items(self, *, may_be_stale: bool = False) -> Any:
        self.listed_s.append(self.clock.monotonic_s())
        return FeedListing(items=(), revision=5 - self.era, era=self.era)

    def watch(self, *, after: int, wait_s: float) -> Any:
        if after > 5 - self.era:
            return FeedGap(era=self.era)
        return FeedChanges(changes=(), revision=5 - self.era, era=self.era)

    def is_registered(self, host: PublishedHost) -> bool | FeedUnavailable:
        self.checks += 1
        return FeedUnavailable(reason="cut") if self.checks == 1 else self.registered

    def announce(self, host: PublishedHost) -> FeedUnavailable | None:
        self.registered = True
        return None


def make_follower(
    store: RestoredStore, seed: int, region: Any = SERVER_FEED
) -> FeedFollower[Any]:
    board = Board()
    return FeedFollower(
        board=board,
        clock=store.clock,
        rng=Random(seed),
        event_recorder=EventRecorder(board=board),
        metrics=MetricsRecorder(board=board),
        feed=store,
        region=region,
        lists_when_behind=region is CONFIGURATION_FEED,
        wait_s=20.0,
        outage_s=3.0,
    )


def test_listings_after_a_restore_are_spread() -> None:
    # Guards against hosts that all list at the same moment, which the store refuses.
    store = RestoredStore(clock=ManualClock())
    followers = [make_follower(store, seed) for seed in range(HOSTS)]
    followers[0].board.write(
        RELAY_NOTICE, RelayNotice(is_watcher=True), writer="domain_link"
    )
    for follower in followers:
        follower.step()
    store.era, store.listed_s = 1, []
    started_s = store.clock.monotonic_s()
    for _ in range(30):
        for follower in followers:
            if len(store.listed_s) < HOSTS:
                follower.step_when_due()
        store.clock.advance(0.05)
    tenths = [int((at_s - started_s) * 10.001) for at_s in store.listed_s]
    assert sorted(set(tenths)) == list(range(11))
    busiest = max(tenths.count(tenth) for tenth in range(11))
    assert busiest * CALLS_PER_LISTING < READS_PER_S / 10
    assert followers[0].board.read(SERVER_FEED).era == 1
    assert followers[0].board.read(COUNTERS).totals["store_relists", "server_feed"] == 1


def test_lost_configuration_is_not_sought_in_a_loop() -> None:
    # Guards against a host that lists again at once, for as long as the store lacks
    # the version that others have stated.
    store = RestoredStore(clock=ManualClock(), era=1)
    follower = make_follower(store, 1, CONFIGURATION_FEED)
    view = FeedView[Configuration](era=1, revision=4, stated_version=7)
    follower.board.write(CONFIGURATION_FEED, view, writer="configuration_feed")
    while store.clock.monotonic_s() < ManualClock().now_s + LOST_S:
        pause_s = follower.step(is_behind=True)
        assert pause_s > 0.0
        store.clock.advance(pause_s)
    assert len(store.listed_s) <= 4 * LOST_S


def test_host_takes_a_restored_list_from_its_hub_without_a_call() -> None:
    # Guards against calls to the store for what the hub of the domain has read.
    fleet = SmallFleet()
    hub, own = fleet.link("a-0"), fleet.link("a-2")
    old = FeedView[PublishedServer](revision=9, complete_after=1, confirmed_s=1.0)
    for link in fleet.links.values():
        link.board.write(SERVER_FEED, old, writer="server_feed")
    restored = FeedView[PublishedServer](
        revision=4, complete_after=4, confirmed_s=1.0, era=1, withdrawn=Map({"i": 1})
    )
    hub.board.write(SERVER_FEED, restored, writer="server_feed")
    fleet.run(2)
    awaited = own.board.read(STORE_RELAY).awaited
    assert awaited is not None
    assert (awaited.era, awaited.revision) == (1, 4)
    assert own.board.read(RELAY_NOTICE).awaited_era == 1
    store = RestoredStore(clock=fleet.clock)
    follower = evolve(make_follower(store, 1), board=own.board)
    server_follower = ServerFollower(feed_follower=follower, limit_s=1.4)
    for changes in fleet.changes[own.own_host.host_id]:
        server_follower.receive_changes(changes)
    view = own.board.read(SERVER_FEED)
    assert (view.era, view.revision, dict(view.withdrawn)) == (1, 4, {"i": 1})
    assert store.listed_s == []


def test_every_domain_hears_the_newest_configuration_version() -> None:
    # Guards against a hub that restarts during a restore and confirms the backup's
    # configuration, with withdrawn keys, because no host of its domain tells it better.
    fleet = SmallFleet()
    view = FeedView(items=Map({"main": Configuration(version=7)}), confirmed_s=1.0)
    board = fleet.link("b-2").board
    board.write(CONFIGURATION_FEED, view, writer="configuration_feed")
    fleet.run(1)
    assert fleet.link("b-0").board.read(STORE_RELAY).stated_version == 7
    hub_feed = evolve(view, items=Map(), stated_version=7)
    board = fleet.link("b-0").board
    board.write(CONFIGURATION_FEED, hub_feed, writer="configuration_feed")
    fleet.run(2)
    for name in ("a-0", "c-0"):
        relay = fleet.link(name).board.read(STORE_RELAY)
        assert relay.stated_version == 7, name


def test_host_checks_its_registration_once_after_each_restore() -> None:
    # Guards against hosts that no restarted host finds, since their objects are lost.
    store = RestoredStore(clock=ManualClock(), registered=False)
    board = Board()
    recorder, metrics = EventRecorder(board=board), MetricsRecorder(board=board)
    tracker = EraTracker(
        board=board, clock=store.clock, event_recorder=recorder, metrics=metrics
    )
    checker = RegistrationChecker(
        board=board,
        clock=store.clock,
        rng=Random(1),
        event_recorder=recorder,
        metrics=metrics,
        registry=store,
        own_host=host("a", 0),
    )
    assert [tracker.record(era) for era in (2, 1)] == [2, 2]
    assert checker.step() is None
    # The hub's list shows the restore before a call of this host does.
    board.write(SERVER_FEED, FeedView(era=3), writer="server_feed")
    # In an outage only probes test the store.
    board.write(STORE_REACH, StoreReach(reached_s=0.0), writer="store_probe")
    for _ in range(20):
        store.clock.advance(checker.step() or 1.0)
    assert store.checks == 0
    reached = StoreReach(reached_s=store.clock.monotonic_s() + 60.0)
    board.write(STORE_REACH, reached, writer="store_probe")
    for _ in range(10):
        store.clock.advance(checker.step() or 1.0)
    assert (store.registered, store.checks) == (True, 2)
    assert tracker.record(3) == 3
    assert checker.step() is None
    assert board.read(COUNTERS).totals["store_restores", ""] == 1
