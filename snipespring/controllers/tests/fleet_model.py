"""Model hosts with drifting clocks, a lossy network and a roster in one thread."""

from collections import Counter
from itertools import count

from attrs import define, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import CONFIGURATION, FENCE, LEASE, ROSTER
from snipespring.controllers import ShareManager
from snipespring.decisions.limits import InsufficientCredit, OutgoingAsks, Paid, peer_of
from snipespring.records import (
    Address,
    Configuration,
    CreditGrants,
    DomainName,
    Fence,
    Host,
    HostId,
    Incarnation,
    LeaseHeld,
    LeaseLapsed,
    OrganisationName,
    OrganisationRule,
    Peer,
    Roster,
    ShareHandovers,
    ShareRelease,
    SharesTaken,
)

LEASE_S = 4.0
DRIFT_MARGIN_S = 0.4
RULE_CHANGE_MARGIN_S = 1.1
EPSILON = 1e-6
VALETERS = OrganisationName("valeters")


@define(kw_only=True, eq=False)
class TrueTime:
    now_s: float = 100.0


@define(kw_only=True, eq=False)
class DriftingClock:
    """Run fast or slow; `pause_s` passes right after the next reading."""

    true_time: TrueTime
    drift: float
    offset_s: float
    pause_s: float = 0.0

    def monotonic_s(self) -> float:
        reading_s = self.offset_s + self.true_time.now_s * self.drift
        self.true_time.now_s += self.pause_s
        self.pause_s = 0.0
        return reading_s

    def wall_s(self) -> float:
        return self.true_time.now_s


@define(kw_only=True, eq=False)
class ModelHost:
    host: Host
    clock: DriftingClock
    board: Board
    share_manager: ShareManager
    is_frozen: bool = False
    waiting: int = 0
    busy: dict[Peer, OutgoingAsks] = field(factory=dict)
    majority_known_at_s: dict[int, float] = field(factory=dict)
    releases: list[ShareRelease] = field(factory=list)

    @property
    def version(self) -> int:
        return self.board.read(ROSTER).version


@define(kw_only=True, eq=False)
class AsksInTransit:
    borrower: ModelHost
    outgoing: OutgoingAsks


@define(kw_only=True, eq=False)
class GrantsInTransit:
    borrower: ModelHost
    outgoing: OutgoingAsks
    grants: CreditGrants


@define(kw_only=True, eq=False)
class HandoversInTransit:
    message: ShareHandovers
    recipient: Host


InTransit = AsksInTransit | GrantsInTransit | HandoversInTransit


@define(kw_only=True, eq=False)
class RulePeriod:
    """Describe a rule and the period in which any host may apply it."""

    rule: OrganisationRule
    begins_s: float
    ends_s: float = float("inf")


def make_rule(rate_per_s: float, burst: float) -> OrganisationRule:
    return OrganisationRule(
        name=VALETERS, rate_per_s=rate_per_s, burst=burst, asked_by="Aoife"
    )


@define(kw_only=True, eq=False)
class FleetModel:
    """Simulate hosts, true time and messages in transit; record every admission.

    Once any host has learned that a majority knows a roster version, no host with
    an older version renews its lease. Fences rely on this.
    """

    rule: OrganisationRule
    time: TrueTime = field(factory=TrueTime)
    roster: Roster = field(factory=Roster)
    hosts: list[ModelHost] = field(factory=list)
    in_transit: list[InTransit] = field(factory=list)
    majority_version: int = 0
    admitted_at_s: list[float] = field(factory=list)
    periods: list[RulePeriod] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)
    _numbers: "count[int]" = field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        self.periods = [RulePeriod(rule=self.rule, begins_s=0.0)]

    def start_host(self, name: str, drift: float) -> ModelHost:
        number = next(self._numbers)
        address = Address(ip="127.0.0.1", port=number)
        host = Host(
            host_id=HostId(name),
            incarnation=Incarnation(f"{number:04d}"),
            domain=DomainName(f"domain-{sum(map(ord, name)) % 3}"),
            callers=address,
            peers=address,
            operators=address,
        )
        clock = DriftingClock(
            true_time=self.time, drift=drift, offset_s=number * 1000.0
        )
        board = Board()
        share_manager = ShareManager(board=board, clock=clock, own_peer=peer_of(host))
        model = ModelHost(
            host=host, clock=clock, board=board, share_manager=share_manager
        )
        self.hosts.append(model)
        self.apply_rule(model)
        return model

    def apply_rule(self, model: ModelHost) -> None:
        cfg = Configuration(version=1, organisations=Map({VALETERS: self.rule}))
        model.board.write(CONFIGURATION, cfg, writer="configurator")
        self.end_unapplied_rules()

    def end_unapplied_rules(self) -> None:
        for period, later in zip(self.periods, self.periods[1:], strict=False):
            applied = [
                model.board.read(CONFIGURATION).organisations[VALETERS]
                for model in self.hosts
            ]
            if period.ends_s == float("inf") and period.rule not in applied:
                period.ends_s = self.time.now_s + RULE_CHANGE_MARGIN_S
            assert later.begins_s >= period.begins_s

    def change_rule(self, rule: OrganisationRule) -> None:
        self.rule = rule
        self.periods.append(RulePeriod(rule=rule, begins_s=self.time.now_s))

    def change_roster(self, *, add: ModelHost | None = None, drop: str = "") -> None:
        hosts = self.roster.hosts
        if drop in hosts:
            hosts = hosts.delete(HostId(drop))
        if add is not None:
            hosts = hosts.set(add.host.host_id, add.host)
        self.roster = Roster(version=self.roster.version + 1, hosts=hosts)

    def receive_roster(self, model: ModelHost) -> None:
        model.board.write(ROSTER, self.roster, writer="roster_keeper")

    def renew_lease(self, model: ModelHost) -> None:
        if self.majority_version > model.version:
            model.board.write(
                LEASE, LeaseLapsed(reason="behind"), writer="lease_keeper"
            )
            return
        until_s = model.clock.monotonic_s() + LEASE_S
        model.board.write(LEASE, LeaseHeld(until_s=until_s), writer="lease_keeper")

    def receive_fence(self, model: ModelHost) -> None:
        now_s = model.clock.monotonic_s()
        self.majority_version = max(
            self.majority_version, self._find_majority_version()
        )
        model.majority_known_at_s.setdefault(self.majority_version, now_s)
        wait_s = LEASE_S + DRIFT_MARGIN_S
        fenced = [
            version
            for version, at_s in model.majority_known_at_s.items()
            if at_s + wait_s <= now_s
        ]
        fence = Fence(version=max([model.board.read(FENCE).version, *fenced]))
        model.board.write(FENCE, fence, writer="fence_keeper")

    def request(self, model: ModelHost, times: int) -> None:
        rule = model.board.read(CONFIGURATION).organisations[VALETERS]
        for _ in range(times):
            match model.share_manager.pay(rule):
                case Paid():
                    self.admitted_at_s.append(self.time.now_s)
                case InsufficientCredit(may_wait=True):
                    model.waiting += 1
                    model.share_manager.request_credit(VALETERS)
                case InsufficientCredit():
                    return

    def serve_waiting(self, model: ModelHost) -> None:
        rule = model.board.read(CONFIGURATION).organisations[VALETERS]
        for _ in range(model.waiting):
            match model.share_manager.pay(rule, is_waiting=True):
                case Paid():
                    self.admitted_at_s.append(self.time.now_s)
                    self.counts["paid after a wait"] += 1
                case InsufficientCredit():
                    pass
            model.share_manager.end_wait(VALETERS)
        model.waiting = 0

    def borrow(self, model: ModelHost) -> None:
        plan = model.share_manager.plan_borrowing(frozenset(model.busy))
        for outgoing in plan.outgoing:
            model.busy[peer_of(outgoing.host)] = outgoing
            self.in_transit.append(AsksInTransit(borrower=model, outgoing=outgoing))

    def time_out_asks(self, model: ModelHost) -> None:
        for outgoing in list(model.busy.values()):
            model.share_manager.receive_grants(outgoing, None)
        model.busy.clear()

    def hand_over(self, model: ModelHost) -> None:
        model.releases += model.share_manager.collect_releases()
        for release in model.releases:
            message = model.share_manager.make_handovers(release)
            self.in_transit.append(
                HandoversInTransit(message=message, recipient=release.recipient)
            )

    def stop(self, model: ModelHost) -> None:
        model.releases += model.share_manager.release_all()
        self.hand_over(model)
        self.change_roster(drop=model.host.host_id)

    def kill(self, model: ModelHost) -> None:
        self.hosts.remove(model)
        self.end_unapplied_rules()

    def deliver(self, item: InTransit) -> None:
        match item:
            case AsksInTransit(borrower=borrower, outgoing=outgoing):
                lender = self._running(outgoing.host)
                reply = lender and lender.share_manager.lend(outgoing.message)
                if isinstance(reply, CreditGrants):
                    self.in_transit.append(
                        GrantsInTransit(
                            borrower=borrower, outgoing=outgoing, grants=reply
                        )
                    )
            case GrantsInTransit(borrower=borrower, outgoing=outgoing, grants=grants):
                peer = peer_of(outgoing.host)
                if not borrower.is_frozen and borrower.busy.get(peer) is outgoing:
                    del borrower.busy[peer]
                    borrower.share_manager.receive_grants(outgoing, grants)
                    self.counts["grants received"] += 1
            case HandoversInTransit(message=message, recipient=recipient):
                receiver = self._running(recipient)
                if receiver and isinstance(
                    receiver.share_manager.receive_handovers(message), SharesTaken
                ):
                    self.counts["handovers taken"] += 1

    def check_admissions(self) -> None:
        """Compare every pair of admissions with the limit; raise AssertionError."""
        times_s = self.admitted_at_s
        newest = len(times_s) - 1
        for first in range(len(times_s)):
            elapsed_s = times_s[newest] - times_s[first]
            rules = [
                period.rule
                for period in self.periods
                if period.begins_s <= times_s[newest]
                and period.ends_s >= times_s[first]
            ]
            burst = max(rule.burst for rule in rules)
            rate_per_s = max(rule.rate_per_s for rule in rules)
            admitted = newest - first + 1
            allowed = burst + rate_per_s * elapsed_s + EPSILON
            assert admitted <= allowed, f"{admitted} admitted in {elapsed_s:.3f} s"

    def _find_majority_version(self) -> int:
        versions = [0] * len(self.roster.hosts)
        versions += [
            model.version
            for model in self.hosts
            if self.roster.hosts.get(model.host.host_id) == model.host
        ]
        majority = len(self.roster.hosts) // 2 + 1
        return sorted(versions, reverse=True)[majority - 1] if versions else 0

    def _running(self, host: Host) -> ModelHost | None:
        for model in self.hosts:
            if model.host == host and not model.is_frozen:
                return model
        return None
