from typing import Any

from attrs import define, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION,
    EVENTS,
    EVIDENCE,
    FENCE,
    LEASE,
    ROSTER,
    SERVER_STATES,
)
from snipespring.controllers import (
    Accountant,
    HealthJudge,
    HealthKeeper,
    HealthReporter,
    Historian,
)
from snipespring.decisions.health import record_attempt_end
from snipespring.records import (
    Address,
    Answered,
    Configuration,
    DomainName,
    EjectQuickly,
    Evidence,
    Fence,
    Host,
    HostId,
    Incarnation,
    LeaseHeld,
    Message,
    PeerFailed,
    PeerResult,
    Roster,
    ServerEjected,
    ServerId,
    ServerRule,
    ServerStep,
    ServiceName,
    ServiceRule,
)
from snipespring.utils import ManualClock

SERVICE = ServiceName("ledger")
SERVERS = tuple(
    ServerId(service=SERVICE, address=Address(ip="10.0.0.1", port=n)) for n in range(4)
)
CFG = Configuration(
    version=1,
    services=Map(
        {SERVICE: ServiceRule(name=SERVICE, ejection=EjectQuickly(), asked_by="Aoife")}
    ),
    servers=Map(
        {
            SERVICE: tuple(
                ServerRule(server=server, domain=DomainName("d"), asked_by="Aoife")
                for server in SERVERS
            )
        }
    ),
)


@define
class FakeHost:
    own: Host
    board: Board
    judge: HealthJudge
    reporter: HealthReporter
    keeper: HealthKeeper


@define
class FakeFleet:
    """Deliver peer calls in process; `away` hosts answer nothing."""

    clock: ManualClock = field(factory=ManualClock)
    hosts: dict[Address, FakeHost] = field(factory=dict)
    away: set[Address] = field(factory=set)

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        if address in self.away:
            return PeerFailed(reason="away")
        report: Any = message
        return self.hosts[address].judge.answer(report)

    def add_host(self, number: int) -> None:
        address = Address(ip="10.0.1.1", port=number)
        own = Host(
            host_id=HostId(f"host-{number}"),
            incarnation=Incarnation("1"),
            domain=DomainName(f"domain-{number}"),
            callers=address,
            peers=address,
            operators=address,
        )
        board, clock = Board(), self.clock
        accountant = Accountant(board=board)
        judge = HealthJudge(board=board, clock=clock, accountant=accountant, own=own)
        self.hosts[address] = FakeHost(
            own=own,
            board=board,
            judge=judge,
            reporter=HealthReporter(
                board=board, clock=clock, client=self, judge=judge, own=own
            ),
            keeper=HealthKeeper(
                board=board,
                clock=clock,
                historian=Historian(board=board),
                accountant=accountant,
                own=own,
            ),
        )

    def start(self) -> None:
        members = Map({host.own.host_id: host.own for host in self.hosts.values()})
        for host in self.hosts.values():
            roster = Roster(version=3, hosts=members)
            host.board.write(CONFIGURATION, CFG, writer="configurator")
            host.board.write(ROSTER, roster, writer="roster_keeper")
            host.board.write(FENCE, Fence(version=3), writer="fence_keeper")

    def work(self, sick: ServerId) -> None:
        self.clock.advance(0.5)
        until_s = self.clock.now_s + 4.0
        for host in self.hosts.values():
            lease = LeaseHeld(until_s=until_s)
            host.board.write(LEASE, lease, writer="lease_keeper")
            host.board.update(
                EVIDENCE, lambda held: work_once(held, sick), writer=EVIDENCE.writer
            )
        self.step()

    def step(self) -> None:
        for host in self.hosts.values():
            host.reporter.step()
            for fut in list(host.reporter._calls.values()):
                fut.result()
        for host in self.hosts.values():
            host.judge.step()
            host.keeper.step()


def work_once(evidence: Evidence, sick: ServerId) -> Evidence:
    for server in SERVERS:
        answered = Answered(status=500 if server == sick else 200, headers=(), body=b"")
        for _ in range(3):
            evidence = record_attempt_end(evidence, server, "attempt", answered, 0.0)
    return evidence


def start_fleet() -> FakeFleet:
    fleet = FakeFleet()
    for number in range(3):
        fleet.add_host(number)
    fleet.start()
    return fleet


def states(host: FakeHost) -> dict[ServerId, type]:
    by_server = host.board.read(SERVER_STATES).by_server
    return {server: type(state) for server, state in by_server.items()}


def kinds(fleet: FakeFleet) -> list[str]:
    """Return the state of the sick server on each host."""
    found = [states(host)[SERVERS[0]] for host in fleet.hosts.values()]
    return [kind.__name__ for kind in found]


def test_sick_server_is_ejected_on_every_host_and_recorded() -> None:
    fleet = start_fleet()
    for _ in range(6):
        fleet.work(SERVERS[0])
    for host in fleet.hosts.values():
        assert states(host) == {SERVERS[0]: ServerEjected}
        (step,) = host.board.read(EVENTS).latest
        assert isinstance(step, ServerStep)
        assert "3 reporters" in step.evidence


def test_entries_expire_when_the_holder_is_away() -> None:
    fleet = start_fleet()
    for _ in range(6):
        fleet.work(SERVERS[0])
    fleet.away = set(fleet.hosts)
    fleet.clock.advance(3.1)
    fleet.step()
    assert sorted(kinds(fleet)) == ["ServerAvoided", "ServerAvoided", "ServerEjected"]


def test_lapsed_holder_answers_no_list() -> None:
    fleet = start_fleet()
    for _ in range(6):
        fleet.work(SERVERS[0])
    fleet.clock.advance(4.1)
    fleet.step()
    assert kinds(fleet) == ["ServerAvoided"] * 3
