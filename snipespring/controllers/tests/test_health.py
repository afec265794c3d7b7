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
    EventRecorder,
    HealthEvaluator,
    HealthReporter,
    MetricsRecorder,
    ServerStateUpdater,
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
    own_host: Host
    board: Board
    evaluator: HealthEvaluator
    reporter: HealthReporter
    updater: ServerStateUpdater


@define
class FakeFleet:
    """Deliver peer calls in process; `unreachable` hosts do not answer."""

    clock: ManualClock = field(factory=ManualClock)
    hosts: dict[Address, FakeHost] = field(factory=dict)
    unreachable: set[Address] = field(factory=set)

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        if address in self.unreachable:
            return PeerFailed(reason="unreachable")
        report: Any = message
        return self.hosts[address].evaluator.answer(report)

    def add_host(self, number: int) -> None:
        address = Address(ip="10.0.1.1", port=number)
        own_host = Host(
            host_id=HostId(f"host-{number}"),
            incarnation=Incarnation("1"),
            domain=DomainName(f"domain-{number}"),
            callers=address,
            peers=address,
            operators=address,
        )
        board, clock = Board(), self.clock
        metrics = MetricsRecorder(board=board)
        evaluator = HealthEvaluator(
            board=board, clock=clock, metrics=metrics, own_host=own_host
        )
        self.hosts[address] = FakeHost(
            own_host=own_host,
            board=board,
            evaluator=evaluator,
            reporter=HealthReporter(
                board=board,
                clock=clock,
                client=self,
                evaluator=evaluator,
                own_host=own_host,
            ),
            updater=ServerStateUpdater(
                board=board,
                clock=clock,
                event_recorder=EventRecorder(board=board),
                metrics=metrics,
                own_host=own_host,
            ),
        )

    def start(self) -> None:
        members = Map(
            {host.own_host.host_id: host.own_host for host in self.hosts.values()}
        )
        for host in self.hosts.values():
            roster = Roster(version=3, hosts=members)
            host.board.write(CONFIGURATION, CFG, writer="configurator")
            host.board.write(ROSTER, roster, writer="roster_keeper")
            host.board.write(FENCE, Fence(version=3), writer="fence_keeper")

    def run_round(self, unhealthy: ServerId) -> None:
        self.clock.advance(0.5)
        until_s = self.clock.now_s + 4.0
        for host in self.hosts.values():
            lease = LeaseHeld(until_s=until_s)
            host.board.write(LEASE, lease, writer="lease_keeper")
            host.board.update(
                EVIDENCE,
                lambda evidence: add_outcomes(evidence, unhealthy),
                writer=EVIDENCE.writer,
            )
        self.step()

    def step(self) -> None:
        for host in self.hosts.values():
            host.reporter.step()
            for future in list(host.reporter._calls.values()):
                future.result()
        for host in self.hosts.values():
            host.evaluator.step()
            host.updater.step()


def add_outcomes(evidence: Evidence, unhealthy: ServerId) -> Evidence:
    for server in SERVERS:
        answered = Answered(
            status=500 if server == unhealthy else 200, headers=(), body=b""
        )
        for _ in range(3):
            evidence = record_attempt_end(evidence, server, "attempt", answered, 0.0)
    return evidence


def start_fleet() -> FakeFleet:
    fleet = FakeFleet()
    for number in range(3):
        fleet.add_host(number)
    fleet.start()
    return fleet


def list_state_types(host: FakeHost) -> dict[ServerId, type]:
    by_server = host.board.read(SERVER_STATES).by_server
    return {server: type(state) for server, state in by_server.items()}


def list_state_names(fleet: FakeFleet) -> list[str]:
    """Return the state of the unhealthy server on each host."""
    states = [list_state_types(host)[SERVERS[0]] for host in fleet.hosts.values()]
    return [state_type.__name__ for state_type in states]


def test_unhealthy_server_is_ejected_on_every_host_and_recorded() -> None:
    fleet = start_fleet()
    for _ in range(6):
        fleet.run_round(SERVERS[0])
    for host in fleet.hosts.values():
        assert list_state_types(host) == {SERVERS[0]: ServerEjected}
        (step,) = host.board.read(EVENTS).latest
        assert isinstance(step, ServerStep)
        assert "3 reporters" in step.evidence


def test_entries_expire_while_the_list_holder_is_unreachable() -> None:
    fleet = start_fleet()
    for _ in range(6):
        fleet.run_round(SERVERS[0])
    fleet.unreachable = set(fleet.hosts)
    fleet.clock.advance(3.1)
    fleet.step()
    assert sorted(list_state_names(fleet)) == [
        "ServerAvoided",
        "ServerAvoided",
        "ServerEjected",
    ]


def test_holder_with_lapsed_lease_returns_no_list() -> None:
    fleet = start_fleet()
    for _ in range(6):
        fleet.run_round(SERVERS[0])
    fleet.clock.advance(4.1)
    fleet.step()
    assert list_state_names(fleet) == ["ServerAvoided"] * 3
