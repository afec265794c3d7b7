from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from snipespring.records import PullReply

from .fleet_model import ModelHost, ModelPlatform, make_host

HOSTS = 6
STARTED = 3
ROUND_S = 0.5
numbers = st.integers(0, HOSTS - 1)
groups = st.sets(numbers, min_size=1)


@define(kw_only=True)
class DelayedReply:
    puller: int
    peer: int
    incarnation: str
    sent_s: float
    reply: PullReply


class FleetMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.platform = ModelPlatform()
        self.hosts: dict[int, ModelHost] = {}
        self.started = 0
        self.fenced = 0
        self.delayed: list[DelayedReply] = []
        self.partition: set[int] = set()
        self.cut_from_platform: set[int] = set()

    @initialize(rates=st.lists(st.floats(0.98, 1.02), min_size=HOSTS, max_size=HOSTS))
    def start_some(self, rates: list[float]) -> None:
        self.rates = rates
        self.start(set(range(STARTED)))
        self.run_for(10)

    @rule(group=groups)
    def start(self, group: set[int]) -> None:
        """Start or restart hosts and let them join."""
        for number in sorted(group):
            self.started += 1
            host = ModelHost(
                host=make_host(number, self.started),
                clock_rate=self.rates[number],
                clock_offset_s=10.0 * self.started,
            )
            self.hosts[number] = host
            if number not in self.cut_from_platform:
                host.observe_platform(self.platform, self.now_s)
                host.join(self.platform)

    @rule(group=groups)
    def kill(self, group: set[int]) -> None:
        for number in group:
            self.hosts.pop(number, None)

    @rule(number=numbers)
    def leave(self, number: int) -> None:
        host = self.hosts.get(number)
        listed = self.platform.roster().hosts
        if host is None or listed.get(host.host.host_id) != host.host:
            return
        host.leave(self.platform)
        del self.hosts[number]

    @rule(group=groups)
    def remove(self, group: set[int]) -> None:
        """Remove hosts from the roster, whether they run or not."""
        editors = [
            number for number in self.running() if number not in self.cut_from_platform
        ]
        listed = self.platform.roster().hosts
        host_ids = tuple(
            make_host(number).host_id
            for number in sorted(group)
            if make_host(number).host_id in listed
        )
        if editors and host_ids:
            self.hosts[editors[0]].remove(self.platform, host_ids)

    @rule()
    def remove_cut(self) -> None:
        """Remove the hosts without access to the platform, as a fleet would."""
        if self.cut_from_platform:
            self.remove(self.cut_from_platform)

    @rule(group=groups, count=st.integers(0, HOSTS), rounds=st.integers(8, 14))
    def replace_cut(self, group: set[int], count: int, rounds: int) -> None:
        """Isolate a group, start hosts to replace it and remove it."""
        self.split(group, cut_from_platform=True)
        self.start_absent(count)
        self.remove_cut()
        self.run_for(rounds)

    @rule(count=st.integers(1, HOSTS))
    def start_absent(self, count: int) -> None:
        """Start hosts that are not running and can reach the platform."""
        absent = set(range(HOSTS)) - set(self.hosts) - self.cut_from_platform
        self.start(set(sorted(absent)[:count]))

    @rule(group=st.sets(numbers, max_size=2))
    def freeze(self, group: set[int]) -> None:
        """Freeze the hosts of the group and resume all others."""
        for number, host in self.hosts.items():
            host.frozen = number in group

    @rule(group=st.sets(numbers), cut_from_platform=st.booleans())
    def split(self, group: set[int], cut_from_platform: bool) -> None:
        """Partition a group of hosts from the others and optionally the platform."""
        self.partition = group
        self.cut_from_platform = set(group) if cut_from_platform else set()

    @rule(rounds=st.integers(8, 14))
    def run_past_a_lease(self, rounds: int) -> None:
        self.run_for(rounds)

    @rule(group=st.sets(numbers))
    def cut_platform(self, group: set[int]) -> None:
        self.cut_from_platform = group

    @rule(rounds=st.integers(1, 14), delay_s=st.sampled_from([0.0, 0.4]))
    def run_for(self, rounds: int, delay_s: float = 0.0) -> None:
        """Run all hosts for a number of rounds of `ROUND_S` seconds."""
        for _ in range(rounds):
            sent_s = self.now_s
            self.advance(ROUND_S)
            running = self.running()
            for number in running:
                if number not in self.cut_from_platform:
                    self.hosts[number].observe_platform(self.platform, sent_s + delay_s)
                self.hosts[number].step(self.now_s)
            for puller in running:
                self.pull_from_partition(puller, sent_s + delay_s)
            self.no_lease_outlives_a_fence()

    def pull_from_partition(self, puller: int, sent_s: float) -> None:
        for peer in self.running():
            if peer != puller and (peer in self.partition) == (
                puller in self.partition
            ):
                reply = self._pull(puller, peer)
                self.hosts[puller].receive(make_host(peer).host_id, reply, sent_s)
        self.hosts[puller].step(self.now_s)

    @rule(puller=numbers, peer=numbers, delay_s=st.floats(0.0, 3.0))
    def send_pull(self, puller: int, peer: int, delay_s: float) -> None:
        if {puller, peer} <= set(self.running()) and puller != peer:
            sent_s = self.now_s
            self.advance(delay_s)
            self.delayed.append(
                DelayedReply(
                    puller=puller,
                    peer=peer,
                    incarnation=self.hosts[puller].host.incarnation,
                    sent_s=sent_s,
                    reply=self._pull(puller, peer),
                )
            )

    @precondition(lambda self: self.delayed)
    @rule(position=st.integers(0, 100), lost=st.booleans())
    def deliver(self, position: int, lost: bool) -> None:
        entry = self.delayed.pop(position % len(self.delayed))
        host = self.hosts.get(entry.puller)
        if lost or host is None or host.host.incarnation != entry.incarnation:
            return
        if not host.frozen:
            host.receive(make_host(entry.peer).host_id, entry.reply, entry.sent_s)
            host.step(self.now_s)

    @rule(delta_s=st.sampled_from([0.1, 1.0, 4.1, 4.5, 9.0]))
    def advance(self, delta_s: float) -> None:
        self.now_s += delta_s

    @invariant()
    def no_lease_outlives_a_fence(self) -> None:
        fences = [host.fence.version for host in self.hosts.values()]
        self.fenced = max([self.fenced, *fences])
        for host in self.hosts.values():
            if host.roster.version < self.fenced:
                assert not host.holds_lease(self.now_s)

    def running(self) -> list[int]:
        return [number for number in sorted(self.hosts) if self.is_running(number)]

    def is_running(self, number: int) -> bool:
        return not self.hosts[number].frozen

    def _pull(self, puller: int, peer: int) -> PullReply:
        observed = self.hosts[puller].observed_roster
        version = observed.version if observed is not None else 0
        position = self.hosts[puller].read_positions.get(make_host(peer).host_id)
        return self.hosts[peer].reply(version, self.now_s, position)


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(max_examples=150, stateful_step_count=20)


def start_machine(rate: float = 1.0) -> FleetMachine:
    machine = FleetMachine()
    machine.start_some(rates=[rate] * HOSTS)
    return machine


def test_partitioned_majority_of_the_old_roster_blocks_the_fence() -> None:
    machine = start_machine()
    machine.split(group={0, 1}, cut_from_platform=True)
    machine.start({3, 4, 5})
    machine.remove_cut()
    machine.run_for(30)
    assert machine.hosts[0].holds_lease(machine.now_s)
    assert machine.hosts[2].fence.version < machine.platform.version
    machine.split(group=set(), cut_from_platform=False)
    machine.run_for(12)
    assert machine.hosts[2].fence.version == machine.platform.version


def test_partitioned_majority_of_an_intermediate_roster_blocks_the_fence() -> None:
    machine = start_machine()
    machine.start({3, 4, 5})
    machine.start({3, 4, 5})
    machine.run_for(1)
    machine.split(group={2, 3, 4, 5}, cut_from_platform=True)
    machine.remove_cut()
    machine.run_for(30)
    assert machine.hosts[4].holds_lease(machine.now_s)


def test_first_start_reaches_a_fence() -> None:
    machine = start_machine()
    assert {host.fence.version for host in machine.hosts.values()} == {3}


def test_restart_of_every_host_reaches_a_fence() -> None:
    machine = start_machine()
    machine.kill({0, 1, 2})
    machine.start({0, 1, 2})
    machine.run_for(12)
    assert {host.fence.version for host in machine.hosts.values()} == {6}


def test_hosts_that_left_leave_no_lease_behind() -> None:
    machine = start_machine()
    machine.start({3, 4, 5})
    for number in (0, 1, 2):
        machine.leave(number)
    machine.run_for(12)
    assert {host.fence.version for host in machine.hosts.values()} == {9}


def test_half_of_the_hosts_replaced_at_once_reaches_a_fence() -> None:
    machine = start_machine()
    machine.start({3})
    machine.run_for(12)
    machine.kill({0, 1})
    machine.start({4, 5})
    machine.remove({0, 1})
    machine.run_for(12)
    assert machine.hosts[4].fence.version == machine.platform.version


def test_restart_with_the_platform_unavailable_keeps_the_leases() -> None:
    machine = start_machine()
    machine.cut_platform(group=set(range(HOSTS)))
    machine.run_for(20)
    machine.start({0})
    machine.run_for(4)
    assert all(host.holds_lease(machine.now_s) for host in machine.hosts.values())


def test_restarted_hosts_do_not_attest_as_their_earlier_incarnations() -> None:
    machine = start_machine()
    machine.split(group={2}, cut_from_platform=True)
    machine.start({3})
    machine.run_for(12)
    assert machine.hosts[0].fence.version == machine.platform.version
    machine.kill({0, 1})
    machine.split(group={0, 1, 2}, cut_from_platform=True)
    machine.start({0, 1})
    machine.run_for(4)
    assert not machine.hosts[2].holds_lease(machine.now_s)
