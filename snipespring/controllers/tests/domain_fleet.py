"""Simulate the domain links of a small fleet over datagrams."""

from collections.abc import Callable

from attrs import define, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION,
    FLEET_VIEW,
    HOST_FEED,
    LEASE,
    SERVER_FEED,
)
from snipespring.controllers import DomainLink, OutcomeRelay
from snipespring.records import (
    Address,
    Configuration,
    DomainMessage,
    DomainName,
    FeedView,
    HostId,
    Incarnation,
    LeaseHeld,
    PublishedHost,
    ServerChanges,
)
from snipespring.utils import ManualClock

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
            self._make_link(own_host, registry)

    def _make_link(
        self, own_host: PublishedHost, registry: FeedView[PublishedHost]
    ) -> DomainLink:
        board = Board()
        board.write(HOST_FEED, registry, writer="host_feed")
        board.write(CONFIGURATION, Configuration(version=1), writer="configurator")
        board.write(LEASE, LeaseHeld(until_s=1e9), writer="lease_keeper")
        board.write(SERVER_FEED, FeedView(confirmed_s=1.0), writer="server_feed")
        changes = self.changes.setdefault(own_host.host_id, [])
        return self.make_bare_link(own_host, board, changes.append)

    def make_bare_link(
        self,
        own_host: PublishedHost,
        board: Board,
        on_server_changes: Callable[[ServerChanges], None],
    ) -> DomainLink:
        """Return the link of a host that knows nothing yet, which gets datagrams."""
        instances = self.outcomes.setdefault(own_host.host_id, [])
        datagrams = FakeDatagrams(fleet=self, own_host=own_host)
        outcome_relay = OutcomeRelay(
            board=board,
            clock=self.clock,
            datagrams=datagrams,
            own_host=own_host,
            on_outcome=lambda outcome: instances.append(outcome.instance),
        )
        link = DomainLink(
            board=board,
            clock=self.clock,
            datagrams=datagrams,
            own_host=own_host,
            incarnation=Incarnation("first"),
            window_s=5.0,
            outage_s=3.0,
            outcome_relay=outcome_relay,
            on_server_changes=on_server_changes,
            on_evacuations=lambda mark, reached_s: None,
        )
        self.links[own_host.peers] = link
        return link

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
