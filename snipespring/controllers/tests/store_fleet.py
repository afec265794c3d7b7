"""Simulate the calls of a fleet to the store in virtual time."""

from collections import Counter, defaultdict
from heapq import heappop, heappush
from math import ceil
from random import Random
from typing import Any

from attrs import define, field

from snipespring.blackboard import Board
from snipespring.blackboard.regions import CONFIGURATION_FEED, LEASE, SERVER_FEED
from snipespring.controllers import (
    CatalogBuilder,
    ConfigurationFollower,
    EraTracker,
    EventRecorder,
    FeedFollower,
    HostRegistrar,
    MetricsRecorder,
    ServerFollower,
    StoreLeaseManager,
    StoreProbe,
)
from snipespring.controllers.tests.domain_fleet import DOMAINS, SmallFleet, host
from snipespring.daemons.gateway_parts import FIRST_START_READS, WATCH_FRACTION
from snipespring.decisions.catalog import RetryBounds
from snipespring.decisions.confirmations import RelayLimits
from snipespring.decisions.first_reads import FirstReadLimits
from snipespring.records import (
    Address,
    Configuration,
    DomainName,
    FeedChanges,
    FeedGap,
    FeedItem,
    FeedListing,
    FeedUnavailable,
    HostId,
    LeaseHeld,
    PublishedHost,
    PublishedServer,
    ServiceName,
)
from snipespring.utils import ManualClock

PAGE = 50
STALE_LAG_S = 2.5
REVOKE_S = 5.0
SERVER_WATCH_S = 20.0
STALE_COST = 0.1
UNAVAILABLE = FeedUnavailable(reason="cut off")


def make_server(name: str) -> PublishedServer:
    return PublishedServer(
        instance=name,
        born_ms=1,
        service=ServiceName("ledger"),
        address=Address(ip="10.9.0.1", port=9000 + int(name[1:])),
        domain=DomainName("a"),
        slots=3,
        is_draining=False,
        warmup_s=0.0,
    )


class WaitingError(Exception):
    """Suspend a step until the watch that it began has an answer."""


@define(kw_only=True, eq=False)
class StepClock:
    """Read the fleet's time; a step whose watch has ended begins in the past."""

    fleet: "StoreFleet"
    past_s: float | None = None

    def monotonic_s(self) -> float:
        return self.fleet.now_s if self.past_s is None else self.past_s

    def wall_s(self) -> float:
        return self.fleet.now_s


@define(kw_only=True, eq=False)
class HostStore:
    """Call the simulated store from one controller of one host."""

    fleet: "StoreFleet"
    kind: str
    host_id: HostId
    clock: StepClock
    eras: EraTracker
    began_s: float | None = None
    begun_era: int = 0
    until_s: float = 0.0
    after: int = 0

    def _call(self, purpose: str, cost: float) -> bool:
        fleet = self.fleet
        fleet.costs[purpose] += cost
        fleet.calls_at[round(fleet.now_s, 1)] += 1
        if self.host_id in fleet.cut:
            return True
        self.eras.record(fleet.era)
        return False

    def list_items(self, *, may_be_stale: bool = False) -> Any:
        at_s = self.fleet.now_s - (STALE_LAG_S if may_be_stale else 0.0)
        items, revision = self.fleet.state(self.kind, at_s)
        pages = max(1, ceil(len(items) / PAGE))
        purpose = f"{self.kind} {'stale' if may_be_stale else 'list'}"
        if self._call(purpose, STALE_COST if may_be_stale else 1.0):
            return UNAVAILABLE
        self.fleet.costs[purpose] += (pages - 1) * (STALE_COST if may_be_stale else 1)
        return FeedListing(
            items=tuple(items.values()),
            revision=revision,
            calls=pages,
            era=self.fleet.era,
        )

    def watch(self, *, after: int, wait_s: float) -> Any:
        fleet = self.fleet
        if self.began_s is None:
            is_cut = self._call(f"{self.kind} watch", 1.0)
            if is_cut:
                return UNAVAILABLE
            self.began_s, self.until_s = fleet.now_s, fleet.now_s + wait_s
            self.after, self.begun_era = after, fleet.era
        is_cut = self.host_id in fleet.cut
        changes = () if is_cut else fleet.changes(self.kind, self.after)
        if not is_cut and (self.begun_era < fleet.era or after > fleet.revision):
            self.began_s = self.clock.past_s = None
            self.eras.record(fleet.era)
            return FeedGap(era=fleet.era)
        if not is_cut and not changes and fleet.now_s < self.until_s:
            raise WaitingError
        self.began_s = self.clock.past_s = None
        return (
            UNAVAILABLE
            if is_cut
            else FeedChanges(changes=changes, revision=fleet.revision, era=fleet.era)
        )

    def probe(self, _: HostId) -> FeedUnavailable | None:
        return UNAVAILABLE if self._call("probe", STALE_COST) else None

    def announce(self, own_host: PublishedHost) -> FeedUnavailable | None:
        if self._call("register", 1.0):
            return UNAVAILABLE
        self.fleet.write("hosts", own_host.host_id, own_host)
        return None


@define(kw_only=True, eq=False)
class Task:
    """Represent one controller of one host and when it is due."""

    controller: Any
    board: Board
    store: HostStore
    due_s: float = 0.0
    seen: Any = None


@define(kw_only=True, eq=False)
class StoreFleet:
    """Run all hosts; `cut` hosts reach no store, `revision` counts its writes."""

    hosts_per_domain: int
    servers: int = 8
    is_first_start: bool = False
    clock: ManualClock = field(factory=lambda: ManualClock(now_s=1000.0))
    revision: int = 0
    era: int = 0
    log: list[tuple[float, str, FeedItem[Any]]] = field(factory=list)
    cut: set[HostId] = field(factory=set)
    costs: dict[str, float] = field(factory=lambda: defaultdict(float))
    calls_at: Counter[float] = field(factory=Counter)
    tasks: list[Task] = field(factory=list)
    boards: dict[HostId, Board] = field(factory=dict)
    links: SmallFleet = field(factory=SmallFleet)
    rng: Random = field(factory=lambda: Random(1))
    queue: list[tuple[float, int]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.clock.now_s -= 60.0
        for number in range(self.servers):
            self.write("servers", f"s{number}", make_server(f"s{number}"))
        self.write("config", "main", Configuration(version=1))
        if not self.is_first_start:
            for own_host in self.hosts():
                self.write("hosts", own_host.host_id, own_host)
        self.clock.now_s += 60.0
        self.start()

    def hosts(self) -> list[PublishedHost]:
        numbers = range(self.hosts_per_domain)
        return [host(domain, number) for domain in DOMAINS for number in numbers]

    def write(self, kind: str, name: str, content: Any) -> None:
        self.revision += 1
        item = FeedItem(name=name, revision=self.revision, content=content)
        self.log.append((self.now_s, kind, item))
        self._end_watches()

    def restore(self, revision: int) -> None:
        """Return to the state at a revision, in a new era."""
        del self.log[revision:]
        self.revision, self.era = revision, self.era + 1
        self._end_watches()

    def _end_watches(self) -> None:
        for number, task in enumerate(self.tasks):
            if task.store.began_s is not None:
                heappush(self.queue, (self.now_s, number))

    def state(self, kind: str, at_s: float) -> tuple[dict[str, FeedItem[Any]], int]:
        items: dict[str, FeedItem[Any]] = {}
        revision = 0
        for written_s, written_kind, item in self.log:
            if written_s <= at_s:
                revision = item.revision
                if written_kind == kind:
                    items[item.name] = item
        return {k: v for k, v in items.items() if v.content is not None}, revision

    def changes(self, kind: str, after: int) -> tuple[FeedItem[Any], ...]:
        return tuple(
            item
            for _, written, item in self.log[after:]
            if written == kind and item.revision > after
        )

    def start(self) -> None:
        """Start every host anew within half a second."""
        self.tasks, self.queue, self.boards = [], [], {}
        self.links = SmallFleet(
            hosts_per_domain=self.hosts_per_domain, clock=self.clock
        )
        self.links.links.clear()
        for own_host in self.hosts():
            board = Board()
            self.boards[own_host.host_id] = board
            self._add_host(own_host, board)

    def _add_host(self, own: PublishedHost, board: Board) -> None:
        recorder, metrics = EventRecorder(board=board), MetricsRecorder(board=board)
        start_s = self.now_s + self.rng.uniform(0.0, 0.5)
        eras = EraTracker(
            board=board, clock=self.clock, event_recorder=recorder, metrics=metrics
        )

        def add(kind: str, make: Any) -> Any:
            clock = StepClock(fleet=self)
            store = HostStore(
                fleet=self, kind=kind, host_id=own.host_id, clock=clock, eras=eras
            )
            shared = {"board": board, "clock": clock, "event_recorder": recorder}
            controller = make(store, shared)
            heappush(self.queue, (start_s, len(self.tasks)))
            task = Task(controller=controller, board=board, store=store, due_s=start_s)
            self.tasks.append(task)
            return controller

        def follow(region: Any, wait_s: float, *, is_config: bool) -> Any:
            return lambda store, shared: FeedFollower(
                **shared,
                rng=self.rng,
                metrics=metrics,
                feed=store,
                region=region,
                wait_s=wait_s,
                outage_s=3.0,
                lists_when_behind=is_config,
                first_reads=FIRST_START_READS
                if self.is_first_start
                else FirstReadLimits(),
            )

        watch_s = WATCH_FRACTION * REVOKE_S
        config = follow(CONFIGURATION_FEED, watch_s, is_config=True)
        servers = follow(SERVER_FEED, SERVER_WATCH_S, is_config=False)
        limits = RelayLimits(confirmed_s=3.6, reached_s=1.4)
        add(
            "config",
            lambda store, shared: ConfigurationFollower(
                feed_follower=config(store, shared), limits=limits
            ),
        )
        follower = add(
            "servers",
            lambda store, shared: ServerFollower(
                feed_follower=servers(store, shared), limit_s=1.4
            ),
        )
        add(
            "hosts",
            lambda store, shared: HostRegistrar(
                **shared,
                rng=self.rng,
                metrics=metrics,
                registry=store,
                feed=store,
                own_host=own,
                is_first_start=self.is_first_start,
            ),
        )
        add(
            "probe",
            lambda store, shared: StoreProbe(
                board=board,
                clock=shared["clock"],
                metrics=metrics,
                store=store,
                host_id=own.host_id,
                interval_s=0.5,
                outage_s=3.0,
                rng=self.rng,
            ),
        )
        add(
            "catalog",
            lambda _, shared: CatalogBuilder(
                **shared,
                metrics=metrics,
                grace_s=1.8,
                outage_s=3.0,
                retries=RetryBounds(share=0.1, reserve=9.0),
            ),
        )
        add("lease", lambda _, shared: StoreLeaseManager(**shared, lease_s=4.5))
        link = self.links.make_bare_link(own, board, follower.receive_changes)
        add("link", lambda *_: link)

    @property
    def now_s(self) -> float:
        return self.clock.now_s

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            due_s, number = heappop(self.queue)
            self.clock.now_s = max(self.now_s, due_s)
            self._step(number)
        self.clock.now_s = end_s

    def _step(self, number: int) -> None:
        task = self.tasks[number]
        store = task.store
        seen = tuple(task.board.read(region) for region in task.controller.watches)
        is_watching = store.began_s is not None
        if not is_watching and task.due_s > self.now_s and seen == task.seen:
            return
        store.clock.past_s = store.began_s
        task.seen = seen
        try:
            wait_s = task.controller.step()
            store.began_s = None
        except WaitingError:
            wait_s = max(0.001, min(0.5, store.until_s - self.now_s))
        finally:
            store.clock.past_s = None
        task.due_s = self.now_s + (60.0 if wait_s is None else max(wait_s, 0.001))
        heappush(self.queue, (task.due_s, number))
        self._wake(task.board)

    def _wake(self, board: Board) -> None:
        """Queue the controllers of a host whose regions have changed."""
        first = next(n for n, task in enumerate(self.tasks) if task.board is board)
        for number in range(first, first + 6):
            task = self.tasks[number]
            if task.store.began_s is None and task.seen is not None:
                seen = tuple(board.read(region) for region in task.controller.watches)
                if seen != task.seen:
                    heappush(self.queue, (self.now_s, number))

    def take_costs(self) -> dict[str, float]:
        """Return the calls by purpose since the last time, stale ones as a tenth."""
        costs = {key: round(cost, 1) for key, cost in sorted(self.costs.items())}
        self.costs.clear()
        return costs

    def serving(self) -> int:
        """Return how many hosts hold a lease and know the servers."""
        return sum(
            isinstance(lease := board.read(LEASE), LeaseHeld)
            and lease.until_s > self.now_s
            and board.read(SERVER_FEED).confirmed_s is not None
            for board in self.boards.values()
        )
