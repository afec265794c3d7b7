"""Simulate a fleet of claim controllers: network, leases and backend server."""

from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CLAIM_TABLE,
    FENCE,
    LEASE,
    PENDING_REPORTS,
    ROSTER,
)
from snipespring.controllers import (
    Claimant,
    ClaimHandoverSender,
    ClaimOwner,
    EventRecorder,
    MetricsRecorder,
    TenureTracker,
)
from snipespring.decisions.claims import collect_facts, derive_issuing_key, due_reports
from snipespring.records import (
    Address,
    AdmittedRequest,
    ClaimFacts,
    ClaimGranted,
    ClaimReports,
    ClaimRequest,
    DomainName,
    Fence,
    Header,
    Host,
    HostId,
    Incarnation,
    KeyAccess,
    LeaseHeld,
    Message,
    OrganisationName,
    PeerFailed,
    PeerResult,
    Reply,
    Request,
    Roster,
    RouteRule,
    RunOnce,
    ServiceName,
)
from snipespring.utils import ManualClock

ORGANISATION = OrganisationName("valeters")
ISSUING_KEY = derive_issuing_key(b"an example secret of a test fleet")
ROUTE = RouteRule(
    methods=("POST",),
    prefix="/ledger",
    service=ServiceName("ledger"),
    access=KeyAccess(),
    run=RunOnce(),
    asked_by="Aoife",
)
DEADLINE_S = 2.0
LEASE_S = 4.0


@define(kw_only=True)
class SkewedClock:
    """Read a shared clock with an offset that differs between hosts."""

    base: ManualClock
    offset_s: float

    def monotonic_s(self) -> float:
        return self.base.now_s + self.offset_s

    def wall_s(self) -> float:
        return self.base.now_s


@frozen(kw_only=True)
class Delivered:
    """Deliver a call and its reply."""


@frozen(kw_only=True)
class RequestLost:
    """Drop a call."""


@frozen(kw_only=True)
class ReplyLost:
    """Deliver a call and drop its reply."""


@frozen(kw_only=True)
class Delayed:
    """Deliver a call after its sender timed out."""


@frozen(kw_only=True)
class Duplicated:
    """Deliver a call now and once more later."""


NetworkEffect = Delivered | RequestLost | ReplyLost | Delayed | Duplicated


@define(kw_only=True, eq=False)
class Network:
    """Deliver calls between hosts, each with the next effect, or normally."""

    receivers: dict[Address, Callable[[Message], Message]] = field(factory=dict)
    frozen_addresses: set[Address] = field(factory=set)
    cut_links: set[tuple[HostId, Address]] = field(factory=set)
    effects: list[NetworkEffect] = field(factory=list)
    late: list[tuple[Address, Message]] = field(factory=list)

    def call(self, sender: HostId, address: Address, message: Message) -> PeerResult:
        effect = self.effects.pop(0) if self.effects else Delivered()
        timed_out = PeerFailed(reason="timeout")
        receiver = self.receivers.get(address)
        if receiver is None or (sender, address) in self.cut_links:
            return timed_out
        if address in self.frozen_addresses:
            self.late.append((address, message))
            return timed_out
        match effect:
            case RequestLost():
                return timed_out
            case Delayed():
                self.late.append((address, message))
                return timed_out
            case ReplyLost():
                receiver(message)
                return timed_out
            case Duplicated():
                self.late.append((address, message))
                return receiver(message)
            case Delivered():
                return receiver(message)

    def deliver_delayed(self, index: int) -> None:
        address, message = self.late[index % len(self.late)]
        if address not in self.frozen_addresses and address in self.receivers:
            self.late.remove((address, message))
            self.receivers[address](message)


@define(kw_only=True)
class NetworkClient:
    """Call through the network as one host."""

    network: Network
    sender: HostId

    def call(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> PeerResult:
        return self.network.call(self.sender, address, message)


@define(kw_only=True, eq=False)
class FakeHost:
    """Run the claim controllers of one incarnation on its own blackboard."""

    host: Host
    clock: SkewedClock
    network: Network
    board: Board = field(factory=Board)
    claimant: Claimant = field(init=False)
    owner: ClaimOwner = field(init=False)
    tenure: TenureTracker = field(init=False)

    def __attrs_post_init__(self) -> None:
        common: dict[str, Any] = {"board": self.board, "clock": self.clock}
        self.owner = ClaimOwner(own_host=self.host, **common)
        self.tenure = TenureTracker(own_host=self.host, **common)
        self.claimant = Claimant(
            client=NetworkClient(network=self.network, sender=self.host.host_id),
            own_host=self.host,
            local_owner=self.owner,
            event_recorder=EventRecorder(board=self.board),
            metrics=MetricsRecorder(board=self.board),
            issuing_key=ISSUING_KEY,
            **common,
        )
        self.network.receivers[self.host.peers] = self.receive

    def receive(self, message: Message) -> Message:
        match message:
            case ClaimRequest():
                return self.owner.answer(message)
            case ClaimReports():
                return self.owner.receive_reports(message)
            case ClaimFacts():
                return self.owner.receive_facts(message)
            case _:
                raise AssertionError(message)

    @property
    def roster_version(self) -> int:
        return self.board.read(ROSTER).version

    @property
    def lease_until_s(self) -> float:
        match self.board.read(LEASE):
            case LeaseHeld(until_s=until_s):
                return until_s
            case _:
                return 0.0

    def adopt_roster(self, roster: Roster) -> None:
        self.board.write(ROSTER, roster, writer="roster_keeper")
        self.tenure.step()

    def renew_lease(self) -> None:
        until_s = self.clock.monotonic_s() + LEASE_S
        self.board.write(LEASE, LeaseHeld(until_s=until_s), writer="lease_keeper")

    def fence(self, version: int) -> None:
        self.board.write(FENCE, Fence(version=version), writer="fence_keeper")
        self.tenure.step()

    def issue_key(self, text: str) -> str | None:
        prefix = self.claimant.issue_prefix(ORGANISATION)
        return None if prefix is None else f"{prefix}.{text}"

    def make_admitted_request(
        self, request_id: str, key: str, body: bytes
    ) -> AdmittedRequest:
        header = Header(name="Idempotency-Key", value=key)
        request = Request(
            request_id=request_id,
            method="POST",
            path="/ledger",
            headers=(header,),
            body=body,
        )
        return AdmittedRequest(
            request=request,
            route=ROUTE,
            organisation=ORGANISATION,
            deadline_at_s=self.clock.monotonic_s() + DEADLINE_S,
        )

    def hand_over(self) -> None:
        now_s = self.clock.monotonic_s()
        handover = ClaimHandoverSender(
            board=self.board,
            clock=self.clock,
            client=NetworkClient(network=self.network, sender=self.host.host_id),
            own_host=self.host,
        )
        facts = collect_facts(
            self.board.read(CLAIM_TABLE),
            roster=self.board.read(ROSTER),
            own_host=self.host,
            now_s=now_s,
            wall_s=self.clock.wall_s(),
        )
        for host in sorted(facts, key=lambda host: host.host_id):
            handover.send_facts(host, facts[host], now_s + 1.0)

    def deliver_reports(self) -> None:
        due = due_reports(
            self.board.read(PENDING_REPORTS), now_s=self.clock.monotonic_s()
        )
        for owner, entries in sorted(due.items()):
            self.claimant.deliver_reports(owner, entries)


@frozen(kw_only=True)
class UnusedGrant:
    """Represent a grant that its host has not used."""

    host: FakeHost
    claim: ClaimGranted
    key: str
    body: bytes


@frozen(kw_only=True)
class BackendRun:
    """Represent one run on the backend server."""

    at_s: float
    body: bytes
    reply: Reply


def make_host(index: int, incarnation: int) -> Host:
    def listen(port: int) -> Address:
        return Address(ip=f"127.0.0.{index + 1}", port=port)

    return Host(
        host_id=HostId(f"host-{index}"),
        incarnation=Incarnation(f"{incarnation:04d}"),
        domain=DomainName(f"domain-{index}"),
        callers=listen(8080),
        peers=listen(7400),
        operators=listen(9100),
    )


def make_roster(version: int, hosts: list[Host]) -> Roster:
    return Roster(version=version, hosts=Map({host.host_id: host for host in hosts}))
