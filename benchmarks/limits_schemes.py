"""Run one scenario under shares, equal parts or one counter an organisation."""

from functools import partial

from attrs import define, field, frozen
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import (
    CONFIGURATION,
    CREDIT_NEEDS,
    FENCE,
    LEASE,
    ROSTER,
    SHARE_LEDGER,
)
from snipespring.controllers import ShareManager
from snipespring.controllers.limiter import MAX_CREDIT_WAIT_S
from snipespring.decisions.limits import InsufficientCredit, OutgoingAsks, Paid, peer_of
from snipespring.decisions.membership import find_role_holder
from snipespring.records import (
    Configuration,
    CreditGrants,
    Fence,
    LeaseHeld,
    OrganisationName,
    OrganisationRule,
    Peer,
    Roster,
)

from .limits_world import CALL_TIMEOUT_S, Bucket, Request, World, make_roster

__all__ = [
    "EqualParts",
    "OneCounter",
    "Scheme",
    "Shares",
    "find_counter_holder",
    "run_scheme",
]

THREAD_HOP_S = 0.0005


@frozen(kw_only=True)
class Shares:
    """Use the shares of this project."""


@frozen(kw_only=True)
class EqualParts:
    """Give each host of the roster the same fixed part."""


@frozen(kw_only=True)
class OneCounter:
    """Ask one holder an organisation for each request."""


Scheme = Shares | EqualParts | OneCounter


def run_scheme(scheme: Scheme, world: World, requests: list[Request]) -> float | None:
    """Settle every request; return seconds from a kill until limits are whole."""
    match scheme:
        case Shares():
            return _run_shares(world, requests)
        case EqualParts():
            _run_equal_parts(world, requests)
        case OneCounter():
            _run_one_counter(world, requests)
    return None


@define(kw_only=True, eq=False)
class _QueuedRequest:
    request: Request
    wait_ends_at_s: float


@define(kw_only=True, eq=False)
class _ShareHost:
    index: int
    board: Board
    share_manager: ShareManager
    queued: list[_QueuedRequest] = field(factory=list)
    busy: set[Peer] = field(factory=set)
    next_borrow_at_s: float = float("inf")
    next_retry_at_s: float = float("inf")


@define(kw_only=True, eq=False)
class _ShareFleet:
    world: World
    rules: Map[OrganisationName, OrganisationRule]
    hosts: list[_ShareHost]

    def receive_request(self, request: Request) -> None:
        host = self.hosts[self.world.find_serving_host(request.host)]
        rule = self.rules[request.organisation]
        match host.share_manager.pay(rule):
            case Paid(is_low=is_low):
                request.admitted_at_s = self.world.clock.now_s
                if is_low:
                    host.share_manager.request_credit(rule.name)
                    self.schedule_borrowing(host, THREAD_HOP_S)
            case InsufficientCredit(may_wait=True) as short:
                end_s = self.world.clock.now_s + MAX_CREDIT_WAIT_S
                host.queued.append(
                    _QueuedRequest(request=request, wait_ends_at_s=end_s)
                )
                host.share_manager.request_credit(rule.name)
                self.schedule_borrowing(host, THREAD_HOP_S)
                self.schedule_retry(host, min(short.ready_in_s, MAX_CREDIT_WAIT_S))
            case InsufficientCredit():
                return

    def schedule_retry(self, host: _ShareHost, delay_s: float) -> None:
        at_s = self.world.clock.now_s + max(delay_s, THREAD_HOP_S)
        if at_s < host.next_retry_at_s:
            host.next_retry_at_s = at_s
            self.world.after(
                max(delay_s, THREAD_HOP_S), partial(self.retry, host, at_s)
            )

    def retry(self, host: _ShareHost, planned_at_s: float) -> None:
        if host.next_retry_at_s == planned_at_s:
            host.next_retry_at_s = float("inf")
            self.retry_queued(host)

    def retry_queued(self, host: _ShareHost) -> None:
        now_s = self.world.clock.now_s
        kept = []
        for entry in host.queued:
            name = entry.request.organisation
            match host.share_manager.pay(self.rules[name], is_waiting=True):
                case Paid():
                    entry.request.admitted_at_s = now_s
                    host.share_manager.end_wait(name)
                case InsufficientCredit() as short if now_s < entry.wait_ends_at_s:
                    kept.append(entry)
                    left_s = entry.wait_ends_at_s - now_s
                    self.schedule_retry(host, min(short.ready_in_s, left_s))
                case InsufficientCredit():
                    host.share_manager.end_wait(name)
        host.queued = kept

    def schedule_borrowing(self, host: _ShareHost, delay_s: float) -> None:
        at_s = self.world.clock.now_s + delay_s
        if at_s < host.next_borrow_at_s:
            host.next_borrow_at_s = at_s
            self.world.after(delay_s, lambda: self.borrow(host, at_s))

    def borrow(self, host: _ShareHost, planned_at_s: float) -> None:
        if host.next_borrow_at_s != planned_at_s:
            return
        host.next_borrow_at_s = float("inf")
        plan = host.share_manager.plan_borrowing(frozenset(host.busy))
        for outgoing in plan.outgoing:
            host.busy.add(peer_of(outgoing.host))
            self.send_asks(host, outgoing)
        if plan.again_in_s is not None:
            self.schedule_borrowing(host, plan.again_in_s)

    def send_asks(self, host: _ShareHost, outgoing: OutgoingAsks) -> None:
        lender = self.hosts[outgoing.host.peers.port - 1]

        def lend() -> None:
            reply = lender.share_manager.lend(outgoing.message)
            if isinstance(reply, CreditGrants):
                self.world.after(
                    self.world.draw_latency_s(),
                    lambda: self.receive_reply(host, outgoing, reply),
                )

        if self.world.is_answered(host.index, lender.index):
            self.world.after(self.world.draw_latency_s(), lend)
        else:
            self.world.after(
                CALL_TIMEOUT_S, lambda: self.receive_reply(host, outgoing, None)
            )

    def receive_reply(
        self, host: _ShareHost, outgoing: OutgoingAsks, reply: CreditGrants | None
    ) -> None:
        host.busy.discard(peer_of(outgoing.host))
        host.share_manager.receive_grants(outgoing, reply)
        self.retry_queued(host)
        if host.board.read(CREDIT_NEEDS).organisations:
            self.schedule_borrowing(host, THREAD_HOP_S)

    def set_roster(self, roster: Roster) -> None:
        for host in self.hosts:
            if self.world.is_alive(host.index):
                host.board.write(ROSTER, roster, writer="roster_keeper")
                host.share_manager.collect_releases()

    def fence(self, version: int) -> None:
        for host in self.hosts:
            if self.world.is_alive(host.index):
                fence = Fence(version=version)
                host.board.write(FENCE, fence, writer="fence_keeper")
                host.share_manager.collect_releases()

    def find_full_limit_at_s(self) -> float | None:
        begins_s = [
            share.begins_at_s
            for host in self.hosts
            if self.world.is_alive(host.index)
            for account in host.board.read(SHARE_LEDGER).accounts.values()
            for share in account.shares.values()
        ]
        known = [begins for begins in begins_s if begins is not None]
        return max(known) if len(known) == len(begins_s) and known else None


def _run_shares(world: World, requests: list[Request]) -> float | None:
    plan = world.plan
    rules = Map({rule.name: rule for rule in plan.rules})
    hosts = []
    for index in range(plan.hosts):
        host = world.roster.hosts[f"host-{index}"]  # type: ignore[index]
        board = Board()
        cfg = Configuration(version=1, organisations=rules)
        board.write(CONFIGURATION, cfg, writer="configurator")
        board.write(LEASE, LeaseHeld(until_s=float("inf")), writer="lease_keeper")
        book = ShareManager(board=board, clock=world.clock, own_peer=peer_of(host))
        hosts.append(_ShareHost(index=index, board=board, share_manager=book))
    fleet = _ShareFleet(world=world, rules=rules, hosts=hosts)
    _fill_shares(fleet)
    for request in requests:
        world.after(request.arrived_at_s, partial(fleet.receive_request, request))
    if plan.removed_at_s is not None and plan.fenced_at_s is not None:
        roster = make_roster(plan.hosts, without=plan.killed_hosts, version=2)
        world.after(plan.removed_at_s, lambda: fleet.set_roster(roster))
        world.after(plan.fenced_at_s, lambda: fleet.fence(2))
    world.run()
    whole_s = fleet.find_full_limit_at_s()
    return whole_s - plan.kill_at_s if plan.removed_at_s and whole_s else None


def _fill_shares(fleet: _ShareFleet) -> None:
    """Let every level grow full before the first request."""
    longest_s = max(rule.burst / rule.rate_per_s for rule in fleet.rules.values())
    fleet.world.clock.now_s = -2.0 * longest_s
    fleet.set_roster(fleet.world.roster)
    fleet.world.clock.now_s = 0.0


def _run_equal_parts(world: World, requests: list[Request]) -> None:
    buckets: dict[tuple[int, OrganisationName], Bucket] = {}
    rules = {rule.name: rule for rule in world.plan.rules}

    def arrive(request: Request) -> None:
        index = world.find_serving_host(request.host)
        rule = rules[request.organisation]
        burst = rule.burst / world.plan.hosts
        bucket = buckets.setdefault(
            (index, rule.name),
            Bucket(
                rate_per_s=rule.rate_per_s / world.plan.hosts, burst=burst, level=burst
            ),
        )
        if bucket.take(world.clock.now_s):
            request.admitted_at_s = world.clock.now_s

    for request in requests:
        world.after(request.arrived_at_s, partial(arrive, request))
    world.run()


def find_counter_holder(roster: Roster, organisation: OrganisationName) -> int:
    """Return the index of the host that counts an organisation's requests."""
    holder = find_role_holder(roster, f"limit/{organisation}")
    return holder.peers.port - 1 if holder is not None else 0


def _run_one_counter(world: World, requests: list[Request]) -> None:
    plan = world.plan
    buckets = {
        rule.name: Bucket(
            rate_per_s=rule.rate_per_s, burst=rule.burst, level=rule.burst
        )
        for rule in plan.rules
    }
    rosters = [world.roster]

    def holder_index(organisation: OrganisationName) -> int:
        return find_counter_holder(rosters[-1], organisation)

    def count(request: Request) -> None:
        if buckets[request.organisation].take(world.clock.now_s):
            request.admitted_at_s = world.clock.now_s

    def arrive(request: Request) -> None:
        index = world.find_serving_host(request.host)
        holder = holder_index(request.organisation)
        if index == holder:
            count(request)
        elif world.is_answered(index, holder):
            request.reply_delay_s = world.draw_latency_s()
            world.after(world.draw_latency_s(), lambda: count(request))

    def replace() -> None:
        roster = make_roster(plan.hosts, without=plan.killed_hosts, version=2)
        for rule in plan.rules:
            if not world.is_alive(holder_index(rule.name)):
                buckets[rule.name].level = 0.0
                buckets[rule.name].as_of_s = world.clock.now_s
        rosters.append(roster)

    for request in requests:
        world.after(request.arrived_at_s, partial(arrive, request))
    if plan.fenced_at_s is not None:
        world.after(plan.fenced_at_s, replace)
    world.run()
