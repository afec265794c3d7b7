"""Simulate hosts that limit one organisation's rate through the hubs' grants."""

from bisect import bisect_left
from collections.abc import Callable
from random import Random

from attrs import define, field
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import CONFIGURATION, HOST_FEED, LEASE, SERVER_FEED
from snipespring.controllers import (
    AdmissionAsker,
    DomainLink,
    Granter,
    MetricsRecorder,
    OutcomeRelay,
    UsageLimiter,
)
from snipespring.records import (
    Address,
    AdmissionAnswer,
    AdmissionQuery,
    Admitted,
    Configuration,
    DomainMessage,
    DomainName,
    FeedView,
    HostId,
    Incarnation,
    LeaseHeld,
    OrganisationName,
    OrganisationRule,
    PublishedHost,
)
from snipespring.settings import GatewayLimitSettings
from snipespring.utils import ManualClock

NAME = OrganisationName("valeters")
STEP_S = 0.005
REPORT_INTERVAL_S = 0.25
WINDOW_S = 5.0


@define(kw_only=True, eq=False)
class ModelHost:
    """Represent one process of the fleet."""

    published: PublishedHost
    link: DomainLink
    granter: Granter
    limiter: UsageLimiter
    next_step_s: float


@define(kw_only=True, eq=False)
class ModelDatagrams:
    """Send the datagrams of one host through the simulated fleet."""

    fleet: "GrantsFleet"
    own_host: PublishedHost

    def send(self, address: Address, message: DomainMessage) -> None:
        self.fleet.send(self.own_host, address, message)

    def send_all(self, addresses: tuple[Address, ...], message: DomainMessage) -> None:
        for address in addresses:
            self.send(address, message)


@define(kw_only=True, eq=False)
class GrantsFleet:
    """Simulate a fleet; cut off and frozen hosts exchange nothing with the others."""

    rate_per_s: float
    hosts: int
    domains: int
    seed: int
    burst: float | None = None
    loss: float = 0.0
    clock: ManualClock = field(factory=ManualClock)
    cut: set[int] = field(factory=set, init=False)
    dead: set[int] = field(factory=set, init=False)
    frozen: set[int] = field(factory=set, init=False)
    held: list[tuple[int, DomainMessage, Address]] = field(factory=list, init=False)
    members: list[ModelHost] = field(factory=list, init=False)
    admitted_s: list[float] = field(factory=list, init=False)
    allowed_by_bucket: int = field(default=0, init=False)
    queries: int = field(default=0, init=False)
    asked: int = field(default=0, init=False)
    rng: Random = field(init=False)
    rule: OrganisationRule = field(init=False)
    _listed: tuple[PublishedHost, ...] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = Random(self.seed)
        burst = self.rate_per_s if self.burst is None else self.burst
        self.rule = OrganisationRule(
            name=NAME, rate_per_s=self.rate_per_s, burst=burst, asked_by="a test"
        )
        self._listed = tuple(
            PublishedHost(
                host_id=HostId(f"host-{number:03}"),
                domain=DomainName(f"d-{number % self.domains}"),
                callers=Address(ip=f"10.0.0.{number}", port=80),
                peers=Address(ip=f"10.0.0.{number}", port=7100),
            )
            for number in range(self.hosts)
        )
        self.members = [self._make_host(host, "first") for host in self._listed]

    @property
    def tolerated(self) -> float:
        return (self.rate_per_s * WINDOW_S + self.rule.burst) * 1.1 + 20

    @property
    def fullest_window(self) -> int:
        counts = (
            bisect_left(self.admitted_s, at_s + WINDOW_S) - first
            for first, at_s in enumerate(self.admitted_s)
        )
        return max(counts, default=0)

    def restart(self, number: int) -> None:
        incarnation = f"after-{self.clock.now_s}"
        self.members[number] = self._make_host(self._listed[number], incarnation)
        self.dead.discard(number)

    def run(
        self,
        demand: Callable[[float], float],
        until_s: float,
        *,
        counted_from_s: float = 4.0,
        events: dict[float, Callable[[], None]] | None = None,
    ) -> None:
        """Send requests at `demand` times the rate until `until_s` from the start."""
        start_s, pending = self.clock.now_s, sorted((events or {}).items())
        tokens, self.admitted_s, self.allowed_by_bucket = self.rule.burst, [], 0
        counted = 0
        while (at_s := self.clock.now_s - start_s) < until_s:
            while pending and pending[0][0] <= at_s:
                pending.pop(0)[1]()
            for number, member in enumerate(self.members):
                is_running = number not in self.dead | self.frozen
                if is_running and self.clock.now_s >= member.next_step_s:
                    member.next_step_s += REPORT_INTERVAL_S
                    member.next_step_s = max(member.next_step_s, self.clock.now_s)
                    member.link.step()
                    member.granter.step()
            tokens = min(self.rule.burst, tokens + self.rate_per_s * STEP_S)
            expected = self.rate_per_s * demand(at_s) * STEP_S
            for _ in range(8):
                if self.rng.random() < expected / 8:
                    is_allowed = tokens >= 1.0
                    tokens -= is_allowed
                    counted += is_allowed and at_s >= counted_from_s
                    self._request()
            self.clock.advance(STEP_S)
        self.allowed_by_bucket = counted
        self.counted_from = start_s + counted_from_s

    counted_from: float = field(default=0.0, init=False)

    @property
    def counted_share(self) -> float:
        first = bisect_left(self.admitted_s, self.counted_from)
        return (len(self.admitted_s) - first) / max(1, self.allowed_by_bucket)

    def thaw(self) -> None:
        self.frozen, held, self.held = set(), self.held, []
        for number, message, sender in held:
            self.members[number].link.receive(message, sender)

    def send(
        self, sender: PublishedHost, address: Address, message: DomainMessage
    ) -> None:
        source = int(sender.host_id[5:])
        number = int(address.ip.rpartition(".")[2])
        self.queries += isinstance(message, AdmissionQuery)
        if (source in self.cut) != (number in self.cut) or number in self.dead:
            return
        if self.rng.random() < self.loss:
            return
        if number in self.frozen:
            self.held.append((number, message, sender.peers))
            return
        self.members[number].link.receive(message, sender.peers)
        if isinstance(message, AdmissionAnswer | AdmissionQuery) and (
            self.rng.random() < self.loss
        ):
            self.members[number].link.receive(message, sender.peers)

    def _request(self) -> None:
        running = [
            number
            for number in range(self.hosts)
            if number not in self.dead | self.frozen
        ]
        if not running:
            return
        limiter = self.members[self.rng.choice(running)].limiter
        self.asked += 1
        if isinstance(limiter.admit(NAME, deadline_at_s=1e9), Admitted):
            self.admitted_s.append(self.clock.now_s)

    def _make_host(self, host: PublishedHost, incarnation: str) -> ModelHost:
        board = Board()
        registry = FeedView(
            items=Map({entry.host_id: entry for entry in self._listed}),
            confirmed_s=self.clock.now_s,
        )
        cfg = Configuration(version=1, organisations=Map({NAME: self.rule}))
        board.write(HOST_FEED, registry, writer="host_feed")
        board.write(CONFIGURATION, cfg, writer="configurator")
        board.write(LEASE, LeaseHeld(until_s=1e9), writer="lease_keeper")
        board.write(SERVER_FEED, FeedView(confirmed_s=1.0), writer="server_feed")
        datagrams = ModelDatagrams(fleet=self, own_host=host)
        metrics, limits = MetricsRecorder(board=board), GatewayLimitSettings()
        granter = Granter(
            board=board,
            clock=self.clock,
            datagrams=datagrams,
            metrics=metrics,
            limits=limits,
            own_host=host,
        )
        asker = AdmissionAsker(
            board=board,
            clock=self.clock,
            datagrams=datagrams,
            metrics=metrics,
            granter=granter,
            own_host=host,
            incarnation=Incarnation(incarnation),
            timeout_s=0.0,
        )
        link = DomainLink(
            board=board,
            clock=self.clock,
            datagrams=datagrams,
            own_host=host,
            incarnation=Incarnation(incarnation),
            window_s=WINDOW_S,
            outage_s=3.0,
            outcome_relay=OutcomeRelay(
                board=board,
                clock=self.clock,
                datagrams=datagrams,
                own_host=host,
                on_outcome=lambda _: None,
            ),
            on_server_changes=lambda _: None,
            on_evacuations=lambda mark, reached_s: None,
            on_admission_query=granter.receive,
            on_admission_answer=asker.receive,
        )
        limiter = UsageLimiter(
            board=board,
            clock=self.clock,
            rng=self.rng,
            metrics=metrics,
            limits=limits,
            asker=asker,
        )
        return ModelHost(
            published=host,
            link=link,
            granter=granter,
            limiter=limiter,
            next_step_s=self.clock.now_s + self.rng.uniform(0.0, REPORT_INTERVAL_S),
        )
