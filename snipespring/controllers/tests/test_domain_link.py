"""Test the domain links of a small fleet over simulated datagrams."""

from collections.abc import Callable
from random import Random
from typing import TypeVar

import pytest
from attrs import define, field
from immutables import Map

from snipespring.blackboard import Board, Region
from snipespring.blackboard.regions import (
    CONFIGURATION_FEED,
    FLEET_VIEW,
    HUB_STATE,
    RELAY_NOTICE,
    STOP_STATE,
    STORE_RELAY,
    USAGE_LOG,
)
from snipespring.decisions.domains import AddressListLimits, offer_addresses
from snipespring.records import (
    Address,
    Configuration,
    Confirmation,
    DomainName,
    FeedView,
    HostId,
    HostReport,
    Incarnation,
    Leaving,
    OrganisationName,
    OrganisationTimes,
    RelayedVersion,
    ReportDigest,
    UsageLog,
)

from .domain_fleet import DOMAINS, ROUNDS, SmallFleet, all_hosts, host

NAME = OrganisationName("valeters")
T = TypeVar("T")


def test_every_host_lists_every_other_host() -> None:
    fleet = SmallFleet()
    fleet.run()
    assert set(fleet.views()) == {all_hosts(fleet)}


def test_dead_hosts_and_hubs_are_removed_from_the_views() -> None:
    fleet = SmallFleet()
    fleet.run()
    fleet.dead = {HostId("a-0"), HostId("a-1"), HostId("b-2")}
    fleet.run(24)
    assert set(fleet.views()) == {all_hosts(fleet) - fleet.dead}


def test_leaving_host_is_not_offered() -> None:
    fleet = SmallFleet()
    fleet.run()
    leaving = fleet.link("b-1")
    leaving.board.write(STOP_STATE, Leaving(until_s=1e9), writer="stopper")
    fleet.run(4)
    assert set(fleet.views()) == {all_hosts(fleet) - {HostId("b-1")}}


def test_usage_of_all_hosts_is_summed() -> None:
    fleet = SmallFleet()
    for count, link in enumerate(fleet.links.values()):
        times = (fleet.clock.now_s,) * (count + 1)
        used = OrganisationTimes(
            admitted_s=times, received_s=(fleet.clock.now_s + 9.0,)
        )
        log = UsageLog(by_organisation=Map({NAME: used}))
        link.board.write(USAGE_LOG, log, writer="usage_limiter")
    fleet.run()
    for count, link in enumerate(fleet.links.values()):
        view = link.board.read(FLEET_VIEW)
        assert view.usage[NAME].admitted == sum(range(1, 10)) - (count + 1)
        assert view.usage[NAME].received == 8
        assert view.heard_hosts == 9


def record_usage(fleet: SmallFleet, host_id: str, admitted: int) -> None:
    times = (fleet.clock.now_s,) * admitted
    log = UsageLog(by_organisation=Map({NAME: OrganisationTimes(admitted_s=times)}))
    fleet.link(host_id).board.write(USAGE_LOG, log, writer="usage_limiter")


def count_usage_known_to(fleet: SmallFleet, host_id: str) -> int:
    usage = fleet.link(host_id).board.read(FLEET_VIEW).usage.get(NAME)
    return 0 if usage is None else usage.admitted


@pytest.mark.parametrize("observer", ["a-1", "a-0", "b-2"])
def test_usage_of_a_killed_host_counts_until_it_leaves_the_window(
    observer: str,
) -> None:
    fleet = SmallFleet()
    fleet.run()
    record_usage(fleet, "a-2", 20)
    fleet.run(4)
    assert count_usage_known_to(fleet, observer) == 20
    fleet.dead = {HostId("a-2")}
    fleet.run(6)
    assert count_usage_known_to(fleet, observer) >= 12
    fleet.run(20)
    assert count_usage_known_to(fleet, observer) == 0


@pytest.mark.parametrize("observer", ["a-1", "a-0", "b-2"])
def test_usage_of_a_process_counts_after_its_host_restarts(observer: str) -> None:
    fleet = SmallFleet()
    fleet.run()
    record_usage(fleet, "a-2", 20)
    fleet.run(4)
    record_usage(fleet, "a-2", 0)
    fleet.link("a-2").incarnation = Incarnation("second")
    fleet.run(4)
    assert count_usage_known_to(fleet, observer) >= 14
    fleet.run(20)
    assert count_usage_known_to(fleet, observer) == 0


def test_callers_get_hosts_of_their_domain_and_of_others_if_few_serve() -> None:
    fleet = SmallFleet()
    fleet.run()
    link = fleet.link("a-0")
    hosts = tuple(link.own_host for link in fleet.links.values())

    def domains() -> list[str]:
        answer = offer_addresses(
            hosts,
            link.board.read(FLEET_VIEW),
            link.own_host.host_id,
            DomainName("c"),
            AddressListLimits(lifetime_s=2.0),
            is_own_serving=True,
            rng=Random(1),
        )
        return sorted(offer.domain for offer in answer.offers)

    assert domains() == ["c", "c", "c"]
    fleet.dead = {HostId("c-0"), HostId("c-1")}
    fleet.run(24)
    assert domains().count("c") == 1
    assert len(domains()) == 3


def confirm(fleet: SmallFleet, host_id: str, version: int) -> None:
    view = FeedView(
        items=Map({"main": Configuration(version=version)}),
        confirmed_s=fleet.clock.now_s,
    )
    board = fleet.link(host_id).board
    board.write(CONFIGURATION_FEED, view, writer="configuration_feed")


def test_first_hub_queries_the_store_and_relays_confirmations() -> None:
    fleet = SmallFleet()
    fleet.run()
    for domain in DOMAINS:
        confirm(fleet, f"{domain}-0", 4)
    confirmed_s = fleet.clock.now_s
    fleet.run(4)
    for link in fleet.links.values():
        relay = link.board.read(STORE_RELAY)
        is_first = link.own_host.host_id.endswith("-0")
        assert relay.is_watcher == is_first
        if not is_first:
            assert relay.relayed == RelayedVersion(
                version=4, confirmed_s=confirmed_s, reached_s=confirmed_s
            )


def test_followers_of_the_store_are_woken_only_by_news() -> None:
    fleet = SmallFleet()
    fleet.run()
    board = fleet.link("a-2").board
    sub = board.subscribe((RELAY_NOTICE,))
    for version, is_news in ((4, True), (4, False), (4, False), (5, True)):
        confirm(fleet, "a-0", version)
        fleet.run(4)
        assert sub.wait(0.0) == is_news
        relayed = board.read(STORE_RELAY).relayed
        assert relayed is not None
        assert relayed.confirmed_s > fleet.clock.now_s - 1.5


def test_second_hub_uses_its_own_sums_only_while_the_first_does_not_answer() -> None:
    fleet = SmallFleet()
    fleet.run()
    second = fleet.link("a-1")
    summed_s = second.board.read(HUB_STATE).as_of_s
    fleet.run()
    assert second.board.read(HUB_STATE).as_of_s == summed_s
    fleet.dead = {HostId("a-0")}
    fleet.run()
    now_s = fleet.clock.now_s
    assert second.board.read(HUB_STATE).as_of_s == now_s - 0.25
    assert set(fleet.views()) == {all_hosts(fleet) - fleet.dead}


def test_next_hub_queries_the_store_after_the_first_died() -> None:
    fleet = SmallFleet()
    fleet.run()
    fleet.dead = {HostId("a-0")}
    fleet.run(8)
    assert fleet.link("a-1").board.read(STORE_RELAY).is_watcher
    assert not fleet.link("a-2").board.read(STORE_RELAY).is_watcher


def digest_for(
    incarnation: str, *, sender: str = "a-0", sequence: int = ROUNDS
) -> ReportDigest:
    return ReportDigest(
        sender=HostId(sender),
        incarnation=Incarnation(incarnation),
        sequence=sequence,
        confirmation=Confirmation(version=9, age_s=0.0, reached_age_s=0.0),
    )


def test_digest_is_used_only_from_the_hub_and_for_this_incarnation() -> None:
    fleet = SmallFleet()
    fleet.run()
    link, hub = fleet.link("a-2"), fleet.link("a-0").own_host.peers
    link.receive(digest_for("first"), Address(ip="10.9.9.9", port=7100))
    link.receive(digest_for("previous"), hub)
    assert link.board.read(STORE_RELAY).relayed is None
    link.receive(digest_for("first"), hub)
    assert link.board.read(STORE_RELAY).relayed is not None


def test_first_hub_forgets_its_reports_to_the_second_one() -> None:
    # Guards against memory that grows with each report to the second hub, which gets
    # every third one only.
    fleet = SmallFleet()
    fleet.run(5 * ROUNDS)
    link, second = fleet.link("a-0"), fleet.link("a-1").own_host.peers
    for sequence in range(1, 4 * ROUNDS + 1):
        link.receive(digest_for("first", sender="a-1", sequence=sequence), second)
    assert link.board.read(STORE_RELAY).relayed is None
    late = 5 * ROUNDS - 1  # a multiple of 3
    link.receive(digest_for("first", sender="a-1", sequence=late), second)
    assert link.board.read(STORE_RELAY).relayed is not None


@define(kw_only=True, eq=False)
class InterruptedBoard(Board):
    """Run an action of another thread before the next write to the relay notice."""

    interruptions: list[Callable[[], None]] = field(factory=list)

    def update(self, region: Region[T], change: Callable[[T], T], *, writer: str) -> T:
        if region.name == RELAY_NOTICE.name and self.interruptions:
            self.interruptions.pop()()
        return super().update(region, change, writer=writer)


def test_notice_keeps_up_with_versions_stated_on_two_threads() -> None:
    # Guards against a notice that goes back to an older version or role, so that the
    # followers of the store react up to one report later.
    fleet, board = SmallFleet(), InterruptedBoard()
    link = fleet.make_bare_link(host("a", 2), board, lambda _: None)
    sender = host("a", 1)

    def receive(version: int) -> None:
        report = HostReport(
            host=sender,
            incarnation=Incarnation("first"),
            sequence=version,
            is_serving=True,
            configuration=version,
        )
        link.receive(report, sender.peers)

    board.interruptions.append(lambda: receive(7))
    receive(5)
    assert board.read(STORE_RELAY).stated_version == 7
    assert board.read(RELAY_NOTICE).version == 7
