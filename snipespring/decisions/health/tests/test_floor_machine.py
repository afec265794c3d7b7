from collections.abc import Set
from itertools import product

from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from immutables import Map

from snipespring.decisions.health import (
    absorb_report,
    has_begun,
    judge_pool,
    make_list,
    policy_of,
    receive_list,
    renew_pool,
    states_in_force,
)
from snipespring.decisions.health.floors import list_out, required_servers
from snipespring.decisions.membership import find_role_holder
from snipespring.records import (
    Address,
    DomainName,
    EjectionList,
    EjectionListCopy,
    EvidencePool,
    Fence,
    Host,
    HostId,
    Incarnation,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    OutcomeCounts,
    Roster,
    ServerId,
)

from .builders import RULE, SERVERS, SERVICE, answers, make_report

HOSTS = 4
LEASE_S = 4.0
MARGIN_S = 0.4
ALLOWED_OUT = len(SERVERS) - required_servers(len(SERVERS), RULE.floor)
POLICY = evolve(
    policy_of(RULE.ejection), base_ejection_s=0.5, max_ejection_s=0.5, trial_shares=(1,)
)
HOST = st.integers(0, HOSTS - 1)
EVERYBODY = frozenset(range(HOSTS))
SERVER = st.integers(0, len(SERVERS) - 1)


def make_host(number: int) -> Host:
    address = Address(ip="10.0.1.1", port=number)
    return Host(
        host_id=HostId(f"host-{number}"),
        incarnation=Incarnation("1"),
        domain=DomainName(f"domain-{number % 3}"),
        callers=address,
        peers=address,
        operators=address,
    )


@define
class Fake:
    """Hold one host; its clock runs `offset_s` ahead of the oracle's."""

    own: Host
    offset_s: float
    roster: Roster
    lease: LeaseState = field(factory=lambda: LeaseLapsed(reason="start"))
    pool: EvidencePool | None = None
    held: EjectionListCopy | None = None
    counts: dict[ServerId, OutcomeCounts] = field(factory=dict)
    sequence: int = 0


@define
class Late:
    """Hold a reply under way."""

    host: int
    reply: EjectionList
    sent_at_s: float


class FloorMachine(RuleBasedStateMachine):
    """Let hosts report, lose each other and change roles at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.roster = Roster(
            version=1,
            hosts=Map({host.host_id: host for host in map(make_host, range(HOSTS))}),
        )
        self.changed_s = {1: -100.0}
        self.hosts = [Fake(make_host(n), 100.0 * n, self.roster) for n in range(HOSTS)]
        self.cuts: set[tuple[int, int]] = set()
        self.isolated: set[int] = set()
        self.dead: set[ServerId] = set()
        self.late: list[Late] = []
        self.settle(1)

    @rule(steps=st.integers(1, 8))
    def settle(self, steps: int) -> None:
        for _ in range(steps):
            self.now_s += 0.5
            for index in range(HOSTS):
                self._confirm(index)
                self._judge(index)
                self._send(index)

    @rule(delta_s=st.sampled_from([0.1, 1.0, 3.0, 5.0]))
    def pause_all(self, delta_s: float) -> None:
        self.now_s += delta_s

    @rule(host=HOST, other=HOST, heal=st.booleans())
    def cut_one_way(self, host: int, other: int, heal: bool) -> None:
        self.cuts ^= {(host, other)}
        self.cuts = set() if heal else self.cuts

    @rule(host=HOST)
    def cut_from_platform(self, host: int) -> None:
        self.isolated ^= {host}

    @rule(host=HOST)
    def change_roster(self, host: int) -> None:
        own = make_host(host)
        hosts = self.roster.hosts
        hosts = (
            hosts.delete(own.host_id)
            if own.host_id in hosts and len(hosts) > 1
            else hosts.set(own.host_id, own)
        )
        self.roster = Roster(version=self.roster.version + 1, hosts=hosts)
        self.changed_s[self.roster.version] = self.now_s

    @rule(server=SERVER)
    def kill_or_revive(self, server: int) -> None:
        self.dead ^= {SERVERS[server]}

    @rule(
        sick=st.sets(SERVER, min_size=1, max_size=2),
        witnesses=st.sets(HOST, min_size=1),
        delayed=st.booleans(),
    )
    def accuse(
        self, sick: set[int], witnesses: Set[int] = EVERYBODY, delayed: bool = False
    ) -> None:
        for _ in range(3):
            self.now_s += 0.3
            for index in range(HOSTS):
                self._confirm(index)
                self._judge(index)
                seen = {SERVERS[n] for n in sick if index in witnesses}
                self._send(index, seen, delayed=delayed)
        for index in range(HOSTS):
            self._judge(index)
            self._send(index)

    @rule()
    def deliver_late(self) -> None:
        for late in self.late:
            held = receive_list(late.reply, sent_at_s=late.sent_at_s)
            self.hosts[late.host].held = held
        self.late = []

    @invariant()
    def ejections_alone_never_pass_the_floor(self) -> None:
        assert len(self._in_force()) <= ALLOWED_OUT

    def _confirm(self, index: int) -> None:
        fake = self.hosts[index]
        if index not in self.isolated:
            fake.roster = self.roster
            fake.lease = LeaseHeld(until_s=self._local_s(fake) + LEASE_S)

    def _judge(self, index: int) -> None:
        fake = self.hosts[index]
        now_s = self._local_s(fake)
        fake.pool = self._renew(fake)
        if fake.pool is None:
            return
        held = frozenset(fake.pool.entries)
        fence = Fence(version=self._fenced(fake))
        fake.pool = judge_pool(
            fake.pool,
            RULE,
            frozenset(SERVERS),
            policy=POLICY,
            may_eject=has_begun(fake.pool.tenure, fence),
            now_s=now_s,
        )
        if frozenset(fake.pool.entries) - held:
            out = list_out(fake.pool, now_s)
            taken = out.union(self._in_force(), fake.pool.entries)
            assert len(taken) <= ALLOWED_OUT

    def _renew(self, fake: Fake) -> EvidencePool | None:
        return renew_pool(
            fake.pool,
            own=fake.own,
            service=SERVICE,
            roster=fake.roster,
            lease=fake.lease,
            now_s=self._local_s(fake),
        )

    def _send(
        self,
        index: int,
        sick: Set[ServerId] = frozenset(),
        *,
        delayed: bool = False,
    ) -> None:
        fake = self.hosts[index]
        for server in SERVERS:
            fake.counts[server] = self._work(fake, server, server in sick)
        fake.sequence += 1
        report = make_report(index, fake.sequence, fake.counts)
        holder = find_role_holder(fake.roster, f"health/{SERVICE}")
        target = int(holder.host_id[-1]) if holder else index
        if (index, target) in self.cuts:
            return
        keeper = self.hosts[target]
        keeper.pool = self._renew(keeper)
        if keeper.pool is None:
            return
        now_s = self._local_s(keeper)
        keeper.pool = absorb_report(keeper.pool, report, now_s)
        reply = make_list(keeper.pool, SERVICE, POLICY, now_s)
        if (target, index) in self.cuts:
            return
        sent_at_s = self._local_s(fake)
        if delayed:
            self.late.append(Late(index, reply, sent_at_s))
        else:
            fake.held = receive_list(reply, sent_at_s=sent_at_s)

    def _work(self, fake: Fake, server: ServerId, is_sick: bool) -> OutcomeCounts:
        held = fake.counts.get(server, answers(0))
        if server in self.dead:
            return evolve(held, unreachable=held.unreachable + 1)
        if is_sick:
            return evolve(held, errors=held.errors + 10)
        return evolve(held, answered=answers(sum(held.answered.counts) + 10).answered)

    def _fenced(self, fake: Fake) -> int:
        return max(
            version
            for version, changed_s in self.changed_s.items()
            if version <= fake.roster.version
            and changed_s + LEASE_S + MARGIN_S <= self.now_s
        )

    def _local_s(self, fake: Fake) -> float:
        return self.now_s + fake.offset_s

    def _in_force(self) -> set[ServerId]:
        return {
            server
            for fake, server in product(self.hosts, SERVERS)
            if fake.held is not None
            and server in states_in_force(fake.held, self._local_s(fake))
        }


TestFloorMachine = FloorMachine.TestCase
TestFloorMachine.settings = settings(max_examples=60, stateful_step_count=30)


def index_of_holder(machine: FloorMachine) -> int:
    holder = find_role_holder(machine.roster, f"health/{SERVICE}")
    assert holder is not None
    return int(holder.host_id[-1])


def test_freed_places_wait_for_copies_still_in_force() -> None:
    machine = FloorMachine()
    machine.settle(2)
    holder = index_of_holder(machine)
    machine.accuse({0, 1})
    assert len(machine._in_force()) == ALLOWED_OUT
    machine.cut_one_way(holder, (holder + 1) % HOSTS, heal=False)
    machine.kill_or_revive(2)
    machine.settle(2)
    machine.kill_or_revive(2)
    for _ in range(3):
        machine.accuse({3, 4})
        machine.ejections_alone_never_pass_the_floor()


def test_new_holder_waits_for_the_copies_of_the_old_one() -> None:
    machine = FloorMachine()
    machine.settle(2)
    holder = index_of_holder(machine)
    old_side = {holder, (holder + 1) % HOSTS}
    for host in old_side:
        machine.cut_from_platform(host)
    machine.change_roster(holder)
    for _ in range(5):
        machine.accuse({0, 1}, old_side)
        machine.ejections_alone_never_pass_the_floor()
        machine.accuse({2, 3}, EVERYBODY - old_side)
        machine.ejections_alone_never_pass_the_floor()
    assert machine._in_force() == {SERVERS[2], SERVERS[3]}


def test_late_reply_counts_from_its_request() -> None:
    machine = FloorMachine()
    machine.settle(2)
    machine.accuse({0, 1}, delayed=True)
    machine.pause_all(3.0)
    machine.deliver_late()
    assert not machine._in_force()
