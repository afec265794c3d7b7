"""Follow the servers beside failed calls and outages of the store."""

from random import Random
from typing import Any

import pytest
from attrs import define, field

from snipespring.blackboard import Board
from snipespring.blackboard.regions import CONFIGURATION, RELAY_NOTICE, SERVER_FEED
from snipespring.controllers import (
    CatalogBuilder,
    EventRecorder,
    FeedFollower,
    MetricsRecorder,
    StoreProbe,
)
from snipespring.decisions.catalog import RetryBounds
from snipespring.decisions.outages import shortest_outage_s
from snipespring.records import (
    Address,
    DomainName,
    FeedChanges,
    FeedItem,
    FeedListing,
    FeedUnavailable,
    HostId,
    PublishedServer,
    RelayNotice,
    ServiceName,
)
from snipespring.utils import ManualClock

SERVICE = ServiceName("ledger")
GRACE_S = 1.8
OUTAGE_S = shortest_outage_s(1.5)
PROBE_S = 0.5
WATCH_S = 15.0


@define(kw_only=True, eq=False)
class Store:
    """List one server until it is removed; answer nothing while `is_away`."""

    clock: ManualClock
    is_away: bool = False
    has_server: bool = True
    watch_s: float = WATCH_S

    def probe(self, _: HostId) -> FeedUnavailable | None:
        return FeedUnavailable(reason="reset") if self.is_away else None

    def list_items(self, *, may_be_stale: bool = False) -> Any:
        return FeedListing(items=(make_item(True),), revision=1)

    def watch(self, *, after: int, wait_s: float) -> Any:
        if self.is_away:
            return FeedUnavailable(reason="reset")
        changes = () if self.has_server else (make_item(False),)
        return FeedChanges(changes=changes, revision=2)


def make_item(is_listed: bool) -> FeedItem[Any]:
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
    return FeedItem(name="i-1", revision=1, content=server if is_listed else None)


@define(kw_only=True, eq=False)
class WatchingHost:
    """Group what the host that watches the store for its domain runs."""

    clock: ManualClock = field(factory=ManualClock)
    board: Board = field(factory=Board)
    store: Store = field(init=False)
    follower: FeedFollower[PublishedServer] = field(init=False)
    probe: StoreProbe = field(init=False)
    catalog_builder: CatalogBuilder = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.store = Store(clock=self.clock)
        recorder, metrics = (
            EventRecorder(board=self.board),
            MetricsRecorder(board=self.board),
        )
        self.follower = FeedFollower(
            board=self.board,
            clock=self.clock,
            rng=Random(1),
            event_recorder=recorder,
            metrics=metrics,
            feed=self.store,
            region=SERVER_FEED,
            wait_s=WATCH_S,
            outage_s=OUTAGE_S,
        )
        self.probe = StoreProbe(
            board=self.board,
            clock=self.clock,
            metrics=metrics,
            store=self.store,
            host_id=HostId("own"),
            interval_s=PROBE_S,
            outage_s=OUTAGE_S,
        )
        self.catalog_builder = CatalogBuilder(
            board=self.board,
            clock=self.clock,
            event_recorder=recorder,
            metrics=metrics,
            grace_s=GRACE_S,
            outage_s=OUTAGE_S,
            retries=RetryBounds(share=0.16, reserve=44.0),
        )
        notice = RelayNotice(is_watcher=True)
        self.board.write(RELAY_NOTICE, notice, writer="domain_link")
        self.follower.step()

    def run(self, duration_s: float) -> None:
        """Let time pass, with a probe in each interval."""
        for _ in range(round(duration_s / PROBE_S)):
            self.clock.advance(PROBE_S)
            self.probe.step()

    def is_used(self) -> bool:
        self.catalog_builder.step()
        return SERVICE in self.board.read(CONFIGURATION).servers


@pytest.mark.parametrize("away_s", [0.0, 0.5, 1.0, 2.0])
def test_one_watch_that_is_cut_off_keeps_no_leaving_server_in_use(
    away_s: float,
) -> None:
    # Guards against a failed call that counted as an outage of the store, so that a
    # server that left meanwhile got requests for 1.8 s more (DRAIN).
    host = WatchingHost()
    host.run(WATCH_S)
    assert host.is_used()
    host.store.is_away = True
    host.follower.step()
    host.run(away_s)
    host.store.is_away, host.store.has_server = False, False
    host.clock.advance(0.3)
    host.follower.step()
    assert not host.is_used()


@pytest.mark.parametrize("away_s", [3.0, 4.5, 30.0])
@pytest.mark.parametrize("is_probed_first", [True, False])
def test_a_server_that_lapsed_in_an_outage_stays_in_use_until_it_can_be_back(
    away_s: float, is_probed_first: bool
) -> None:
    host = WatchingHost()
    host.run(WATCH_S)
    host.store.is_away = True
    host.run(away_s)
    host.store.is_away, host.store.has_server = False, False
    if is_probed_first:
        host.run(PROBE_S)
    host.follower.step()
    assert host.is_used()
    host.clock.advance(GRACE_S - PROBE_S - 0.01)
    assert host.is_used()
    host.clock.advance(PROBE_S + 0.02)
    assert not host.is_used()
