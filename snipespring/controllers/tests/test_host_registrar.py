"""Test how often a host lists the others."""

from random import Random

from attrs import define, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import FLEET_VIEW, HOST_FEED
from snipespring.controllers import EventRecorder, HostRegistrar, MetricsRecorder
from snipespring.records import (
    Address,
    DomainName,
    FeedChanges,
    FeedGap,
    FeedItem,
    FeedListing,
    FeedUnavailable,
    FleetView,
    HostId,
    PublishedHost,
)
from snipespring.utils import ManualClock


def make_host(name: str) -> PublishedHost:
    address = Address(ip="10.0.0.1", port=1)
    return PublishedHost(
        host_id=HostId(name),
        domain=DomainName("a"),
        callers=address,
        peers=address,
    )


@define(kw_only=True, eq=False)
class FakeStore:
    """Register hosts and count the listings, fresh ones and those that may be stale."""

    hosts: list[PublishedHost] = field(factory=list)
    listings: list[bool] = field(factory=list)

    def announce(self, host: PublishedHost) -> FeedUnavailable | None:
        self.hosts.append(host)
        return None

    def list_items(self, *, may_be_stale: bool = False) -> FeedListing[PublishedHost]:
        self.listings.append(may_be_stale)
        items = tuple(
            FeedItem(name=host.host_id, revision=1, content=host) for host in self.hosts
        )
        return FeedListing(items=items, revision=len(self.hosts))

    def watch(
        self, *, after: int, wait_s: float
    ) -> FeedChanges[PublishedHost] | FeedGap | FeedUnavailable:
        raise AssertionError("hosts are not watched")


def run(registrar: HostRegistrar, clock: ManualClock, duration_s: float) -> None:
    end_s = clock.monotonic_s() + duration_s
    while clock.monotonic_s() < end_s:
        clock.advance(registrar.step())


def test_hosts_are_listed_seldom_unless_one_that_serves_is_unknown() -> None:
    board, clock, store = Board(), ManualClock(), FakeStore()
    registrar = HostRegistrar(
        board=board,
        clock=clock,
        rng=Random(1),
        event_recorder=EventRecorder(board=board),
        metrics=MetricsRecorder(board=board),
        registry=store,
        feed=store,
        own_host=make_host("own"),
    )
    run(registrar, clock, 200.0)
    # The first listing may be stale; the fresh one finds a fleet that starts unmarked.
    assert store.listings == [True, False]
    run(registrar, clock, 200.0)
    assert store.listings == [True, False, True]
    late = make_host("late")
    store.hosts.append(late)
    view = FleetView(serving=frozenset({late.host_id}))
    board.write(FLEET_VIEW, view, writer="domain_link")
    run(registrar, clock, 3.0)
    assert board.read(HOST_FEED).items == Map(
        {host.host_id: host for host in store.hosts}
    )
    assert store.listings == [True, False, True, True]
