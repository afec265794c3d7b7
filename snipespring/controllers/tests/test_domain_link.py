"""Test the domain links of a small fleet over simulated datagrams."""

from random import Random

import pytest
from attrs import define, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION,
    CONFIGURATION_FEED,
    FLEET_VIEW,
    HOST_FEED,
    HUB_STATE,
    LEASE,
    RELAY_NOTICE,
    SERVER_FEED,
    STOP_STATE,
    STORE_RELAY,
    USAGE_LOG,
)
from snipespring.controllers import DomainLink, OutcomeRelay
from snipespring.decisions.domains import AddressListLimits, offer_addresses
from snipespring.records import (
    Address,
    Configuration,
    Confirmation,
    DomainMessage,
    DomainName,
    FeedView,
    HostId,
    Incarnation,
    LeaseHeld,
    Leaving,
    OrganisationName,
    OrganisationTimes,
    OutcomeNotification,
    PublishedHost,
    RelayedVersion,
    ReportDigest,
    ServerChanges,
    UsageLog,
)
from snipespring.utils import ManualClock

NAME = OrganisationName("valeters")
DOMAINS = ("a", "b", "c")
ROUNDS = 8


def host(domain: str, number: int) -> PublishedHost:
    ip = f"10.{DOMAINS.index(domain)}.0.{number + 1}"
    return PublishedHost(
        host_id=HostId(f"{domain}-{number}"),
        domain=DomainName(domain),
        callers=Address(ip=ip, port=80),
        peers=Address(ip=ip, port=7100),
    )


@define(kw_only=True, eq=False)
class FakeDatagrams:
    """Send the datagrams of one host through the simulated fleet."""

    fleet: "SmallFleet"
    own_host: PublishedHost

    def send(self, address: Address, message: DomainMessage) -> None:
        self.fleet.deliver(self.own_host, address, message)

    def send_all(self, addresses: tuple[Address, ...], message: DomainMessage) -> None:
        for address in addresses:
            self.send(address, message)


@define(kw_only=True, eq=False)
class SmallFleet:
    """Simulate three domains of hosts; `dead` hosts get no datagrams."""

    hosts_per_domain: int = 3
    clock: ManualClock = field(factory=ManualClock)
    dead: set[HostId] = field(factory=set)
    links: dict[Address, DomainLink] = field(factory=dict)
    outcomes: dict[HostId, list[str]] = field(factory=dict)
    changes: dict[HostId, list[ServerChanges]] = field(factory=dict)
    cross_domain_datagrams: int = 0
    datagrams: int = 0

    def __attrs_post_init__(self) -> None:
        hosts = [
            host(domain, number)
            for domain in DOMAINS
            for number in range(self.hosts_per_domain)
        ]
        registry = FeedView(
            items=Map({entry.host_id: entry for entry in hosts}), confirmed_s=0.0
        )
        for own_host in hosts:
            self.links[own_host.peers] = self._make_link(own_host, registry)

    def _make_link(
        self, own_host: PublishedHost, registry: FeedView[PublishedHost]
    ) -> DomainLink:
        board = Board()
        board.write(HOST_FEED, registry, writer="host_feed")
        board.write(CONFIGURATION, Configuration(version=1), writer="configurator")
        board.write(LEASE, LeaseHeld(until_s=1e9), writer="lease_keeper")
        board.write(SERVER_FEED, FeedView(confirmed_s=1.0), writer="server_feed")
        instances = self.outcomes.setdefault(own_host.host_id, [])
        datagrams = FakeDatagrams(fleet=self, own_host=own_host)
        outcome_relay = OutcomeRelay(
            board=board,
            clock=self.clock,
            datagrams=datagrams,
            own_host=own_host,
            on_outcome=lambda outcome: instances.append(outcome.instance),
        )
        return DomainLink(
            board=board,
            clock=self.clock,
            datagrams=datagrams,
            own_host=own_host,
            incarnation=Incarnation("first"),
            window_s=5.0,
            outcome_relay=outcome_relay,
            on_server_changes=self.changes.setdefault(own_host.host_id, []).append,
        )

    def deliver(
        self, sender: PublishedHost, address: Address, message: DomainMessage
    ) -> None:
        receiver = self.links[address]
        self.datagrams += 1
        self.cross_domain_datagrams += receiver.own_host.domain != sender.domain
        if (
            receiver.own_host.host_id not in self.dead
            and sender.host_id not in self.dead
        ):
            receiver.receive(message, sender.peers)

    def run(self, rounds: int = ROUNDS) -> None:
        for _ in range(rounds):
            for link in self.links.values():
                if link.own_host.host_id not in self.dead:
                    link.step()
            self.clock.advance(0.25)

    def link(self, host_id: str) -> DomainLink:
        return next(
            link for link in self.links.values() if link.own_host.host_id == host_id
        )

    def views(self) -> list[frozenset[HostId]]:
        return [
            link.board.read(FLEET_VIEW).serving
            for link in self.links.values()
            if link.own_host.host_id not in self.dead
        ]


def all_hosts(fleet: SmallFleet) -> frozenset[HostId]:
    return frozenset(link.own_host.host_id for link in fleet.links.values())


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


def test_outcome_reaches_the_domain_before_any_report_is_received() -> None:
    fleet = SmallFleet()
    link = fleet.link("b-1")
    outcome = OutcomeNotification(
        sender=link.own_host.host_id,
        domain=link.own_host.domain,
        instance="i-1",
        is_failure=True,
    )
    link.outcome_relay.broadcast(outcome)
    recipients = {host_id for host_id, received in fleet.outcomes.items() if received}
    assert {HostId("b-0"), HostId("b-2")} <= recipients


def test_outcome_reaches_every_host_once_and_crosses_domains_twice() -> None:
    fleet = SmallFleet()
    fleet.run()
    sent_before = fleet.cross_domain_datagrams
    outcome = OutcomeNotification(
        sender=HostId("a-2"), domain=DomainName("a"), instance="i", is_failure=True
    )
    fleet.link("a-2").outcome_relay.broadcast(outcome)
    assert fleet.cross_domain_datagrams - sent_before == 2
    received = {
        host_id: len(instances) for host_id, instances in fleet.outcomes.items()
    }
    assert received.pop(HostId("a-2")) == 0
    assert set(received.values()) == {1}


def test_outcomes_in_a_large_domain_are_sent_on_together() -> None:
    """Forty failures within a moment cost few datagrams a host, not forty."""
    fleet = SmallFleet(hosts_per_domain=20)
    fleet.run()
    sent_before = fleet.datagrams
    failing = [host_id for host_id in fleet.outcomes if host_id.startswith("a-")]
    for number in range(40):
        origin = failing[number % len(failing)]
        outcome = OutcomeNotification(
            sender=origin, domain=DomainName("a"), instance=f"{number}", is_failure=True
        )
        fleet.link(origin).outcome_relay.broadcast(outcome)
    for _ in range(4):
        for link in fleet.links.values():
            link.outcome_relay.step()
        fleet.clock.advance(0.05)
    for host_id, received in fleet.outcomes.items():
        own = {f"{number}" for number in range(40) if failing[number % 20] == host_id}
        assert sorted(received) == sorted({f"{n}" for n in range(40)} - own)
    assert fleet.datagrams - sent_before < 40 + 3 * len(fleet.links)


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


def digest_for(incarnation: str) -> ReportDigest:
    return ReportDigest(
        sender=HostId("a-0"),
        incarnation=Incarnation(incarnation),
        sequence=ROUNDS,
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
