from collections.abc import Set
from itertools import product

from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from immutables import Map

from snipespring.decisions.health import (
    add_report,
    effective_states,
    evaluate_pool,
    have_earlier_leases_ended,
    make_ejection_list,
    policy_of,
    receive_ejection_list,
    renew_pool,
)
from snipespring.decisions.health.floors import list_unusable, required_servers
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

from .builders import RULE, SERVERS, SERVICE, count_answers, make_report

HOSTS = 4
LEASE_S = 4.0
CLOCK_DRIFT_MARGIN_S = 0.4
MAX_EXCLUDED = len(SERVERS) - required_servers(len(SERVERS), RULE.floor)
POLICY = evolve(
    policy_of(RULE.ejection), base_ejection_s=0.5, max_ejection_s=0.5, trial_shares=(1,)
)
HOST = st.integers(0, HOSTS - 1)
ALL_HOSTS = frozenset(range(HOSTS))
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
class SimulatedHost:
    """Simulate a host whose clock is `offset_s` ahead of the machine's clock."""

    host: Host
    offset_s: float
    roster: Roster
    lease: LeaseState = field(factory=lambda: LeaseLapsed(reason="start"))
    pool: EvidencePool | None = None
    ejection_list: EjectionListCopy | None = None
    counts: dict[ServerId, OutcomeCounts] = field(factory=dict)
    sequence: int = 0


@define
class DelayedReply:
    """Represent a reply that has not been delivered yet."""

    host: int
    reply: EjectionList
    sent_at_s: float


class FloorMachine(RuleBasedStateMachine):
    """Check the floor while hosts report, lose connections and change roles."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.roster = Roster(
            version=1,
            hosts=Map({host.host_id: host for host in map(make_host, range(HOSTS))}),
        )
        self.version_changed_s = {1: -100.0}
        self.hosts = [
            SimulatedHost(make_host(n), 100.0 * n, self.roster) for n in range(HOSTS)
        ]
        self.cut_links: set[tuple[int, int]] = set()
        self.isolated: set[int] = set()
        self.unreachable: set[ServerId] = set()
        self.delayed_replies: list[DelayedReply] = []
        self.run_rounds(1)

    @rule(steps=st.integers(1, 8))
    def run_rounds(self, steps: int) -> None:
        for _ in range(steps):
            self.now_s += 0.5
            for index in range(HOSTS):
                self._renew_lease(index)
                self._evaluate(index)
                self._send_report(index)

    @rule(delta_s=st.sampled_from([0.1, 1.0, 3.0, 5.0]))
    def advance_clock(self, delta_s: float) -> None:
        self.now_s += delta_s

    @rule(host=HOST, other=HOST, heal=st.booleans())
    def cut_one_way(self, host: int, other: int, heal: bool) -> None:
        self.cut_links ^= {(host, other)}
        self.cut_links = set() if heal else self.cut_links

    @rule(host=HOST)
    def cut_from_platform(self, host: int) -> None:
        self.isolated ^= {host}

    @rule(host=HOST)
    def change_roster(self, host: int) -> None:
        changed_host = make_host(host)
        hosts = self.roster.hosts
        hosts = (
            hosts.delete(changed_host.host_id)
            if changed_host.host_id in hosts and len(hosts) > 1
            else hosts.set(changed_host.host_id, changed_host)
        )
        self.roster = Roster(version=self.roster.version + 1, hosts=hosts)
        self.version_changed_s[self.roster.version] = self.now_s

    @rule(server=SERVER)
    def toggle_server(self, server: int) -> None:
        self.unreachable ^= {SERVERS[server]}

    @rule(
        unhealthy=st.sets(SERVER, min_size=1, max_size=2),
        reporters=st.sets(HOST, min_size=1),
        delayed=st.booleans(),
    )
    def report_errors(
        self,
        unhealthy: set[int],
        reporters: Set[int] = ALL_HOSTS,
        delayed: bool = False,
    ) -> None:
        for _ in range(3):
            self.now_s += 0.3
            for index in range(HOSTS):
                self._renew_lease(index)
                self._evaluate(index)
                servers = {SERVERS[n] for n in unhealthy if index in reporters}
                self._send_report(index, servers, delayed=delayed)
        for index in range(HOSTS):
            self._evaluate(index)
            self._send_report(index)

    @rule()
    def deliver_delayed_replies(self) -> None:
        for delayed in self.delayed_replies:
            list_copy = receive_ejection_list(
                delayed.reply, sent_at_s=delayed.sent_at_s
            )
            self.hosts[delayed.host].ejection_list = list_copy
        self.delayed_replies = []

    @invariant()
    def ejections_satisfy_floor(self) -> None:
        assert len(self._excluded_servers()) <= MAX_EXCLUDED

    def _renew_lease(self, index: int) -> None:
        simulated = self.hosts[index]
        if index not in self.isolated:
            simulated.roster = self.roster
            simulated.lease = LeaseHeld(until_s=self._local_s(simulated) + LEASE_S)

    def _evaluate(self, index: int) -> None:
        simulated = self.hosts[index]
        now_s = self._local_s(simulated)
        simulated.pool = self._renew_pool(simulated)
        if simulated.pool is None:
            return
        previous = frozenset(simulated.pool.entries)
        fence = Fence(version=self._fenced_version(simulated))
        simulated.pool = evaluate_pool(
            simulated.pool,
            RULE,
            frozenset(SERVERS),
            policy=POLICY,
            may_eject=have_earlier_leases_ended(simulated.pool.tenure, fence),
            now_s=now_s,
        )
        if frozenset(simulated.pool.entries) - previous:
            unusable = list_unusable(simulated.pool, now_s)
            excluded = unusable.union(self._excluded_servers(), simulated.pool.entries)
            assert len(excluded) <= MAX_EXCLUDED

    def _renew_pool(self, simulated: SimulatedHost) -> EvidencePool | None:
        return renew_pool(
            simulated.pool,
            own_host=simulated.host,
            service=SERVICE,
            roster=simulated.roster,
            lease=simulated.lease,
            now_s=self._local_s(simulated),
        )

    def _send_report(
        self,
        index: int,
        unhealthy: Set[ServerId] = frozenset(),
        *,
        delayed: bool = False,
    ) -> None:
        simulated = self.hosts[index]
        for server in SERVERS:
            simulated.counts[server] = self._count_work(
                simulated, server, server in unhealthy
            )
        simulated.sequence += 1
        report = make_report(index, simulated.sequence, simulated.counts)
        list_holder = find_role_holder(simulated.roster, f"health/{SERVICE}")
        target = int(list_holder.host_id[-1]) if list_holder else index
        if (index, target) in self.cut_links:
            return
        holder = self.hosts[target]
        holder.pool = self._renew_pool(holder)
        if holder.pool is None:
            return
        now_s = self._local_s(holder)
        holder.pool = add_report(holder.pool, report, now_s)
        reply = make_ejection_list(holder.pool, SERVICE, POLICY, now_s)
        if (target, index) in self.cut_links:
            return
        sent_at_s = self._local_s(simulated)
        if delayed:
            self.delayed_replies.append(DelayedReply(index, reply, sent_at_s))
        else:
            simulated.ejection_list = receive_ejection_list(reply, sent_at_s=sent_at_s)

    def _count_work(
        self, simulated: SimulatedHost, server: ServerId, is_unhealthy: bool
    ) -> OutcomeCounts:
        counts = simulated.counts.get(server, count_answers(0))
        if server in self.unreachable:
            return evolve(counts, unreachable=counts.unreachable + 1)
        if is_unhealthy:
            return evolve(counts, errors=counts.errors + 10)
        return evolve(
            counts, answered=count_answers(sum(counts.answered.counts) + 10).answered
        )

    def _fenced_version(self, simulated: SimulatedHost) -> int:
        return max(
            version
            for version, changed_s in self.version_changed_s.items()
            if version <= simulated.roster.version
            and changed_s + LEASE_S + CLOCK_DRIFT_MARGIN_S <= self.now_s
        )

    def _local_s(self, simulated: SimulatedHost) -> float:
        return self.now_s + simulated.offset_s

    def _excluded_servers(self) -> set[ServerId]:
        return {
            server
            for simulated, server in product(self.hosts, SERVERS)
            if simulated.ejection_list is not None
            and server
            in effective_states(simulated.ejection_list, self._local_s(simulated))
        }


TestFloorMachine = FloorMachine.TestCase
TestFloorMachine.settings = settings(max_examples=60, stateful_step_count=30)


def find_holder_index(machine: FloorMachine) -> int:
    holder = find_role_holder(machine.roster, f"health/{SERVICE}")
    assert holder is not None
    return int(holder.host_id[-1])


def test_removed_ejection_counts_until_its_copies_expire() -> None:
    machine = FloorMachine()
    machine.run_rounds(2)
    holder = find_holder_index(machine)
    machine.report_errors({0, 1})
    assert len(machine._excluded_servers()) == MAX_EXCLUDED
    machine.cut_one_way(holder, (holder + 1) % HOSTS, heal=False)
    machine.toggle_server(2)
    machine.run_rounds(2)
    machine.toggle_server(2)
    for _ in range(3):
        machine.report_errors({3, 4})
        machine.ejections_satisfy_floor()


def test_new_holder_waits_until_copies_of_previous_holder_expire() -> None:
    machine = FloorMachine()
    machine.run_rounds(2)
    holder = find_holder_index(machine)
    old_side = {holder, (holder + 1) % HOSTS}
    for host in old_side:
        machine.cut_from_platform(host)
    machine.change_roster(holder)
    for _ in range(5):
        machine.report_errors({0, 1}, old_side)
        machine.ejections_satisfy_floor()
        machine.report_errors({2, 3}, ALL_HOSTS - old_side)
        machine.ejections_satisfy_floor()
    assert machine._excluded_servers() == {SERVERS[2], SERVERS[3]}


def test_validity_of_delayed_reply_counts_from_its_request() -> None:
    machine = FloorMachine()
    machine.run_rounds(2)
    machine.report_errors({0, 1}, delayed=True)
    machine.advance_clock(3.0)
    machine.deliver_delayed_replies()
    assert not machine._excluded_servers()
