from attrs import define, evolve, field
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from immutables import Map

from snipespring.decisions import membership as mbr
from snipespring.records import (
    Host,
    HostId,
    HostStatus,
    HostStatuses,
    HostView,
    JournalPosition,
    Roster,
    Versions,
)

from .fleet_model import make_host

HOSTS = 4
numbers = st.integers(0, HOSTS - 1)


@define(kw_only=True)
class Node:
    host: Host
    sequence: int = 1
    statuses: HostStatuses = field(factory=HostStatuses)
    read_positions: dict[HostId, JournalPosition] = field(factory=dict)

    @property
    def status(self) -> HostStatus:
        return HostStatus(
            host_id=self.host.host_id,
            incarnation=self.host.incarnation,
            sequence=self.sequence,
            versions=Versions(roster=self.sequence),
        )


class JournalMachine(RuleBasedStateMachine):
    """Let hosts change, restart and pull while replies are delayed or lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.started = HOSTS
        self.nodes = [Node(host=make_host(n, n)) for n in range(HOSTS)]
        self.ended_s: dict[HostStatus, float] = {}
        self.roster = Roster()
        self._list_hosts()

    @rule(number=numbers)
    def change(self, number: int) -> None:
        node = self.nodes[number]
        self.ended_s[node.status] = self.now_s
        node.sequence += 1

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.ended_s[self.nodes[number].status] = self.now_s
        self.nodes[number] = Node(host=make_host(number, self.started))
        self.started += 1
        self._list_hosts()

    @rule(delta_s=st.sampled_from([0.01, 0.5, 6.0]))
    def advance(self, delta_s: float) -> None:
        self.now_s += delta_s

    @rule(puller=numbers, peer=numbers, lost=st.booleans(), delay_s=st.floats(0.0, 1.0))
    def pull(
        self, puller: int, peer: int, lost: bool = False, delay_s: float = 0.0
    ) -> None:
        if puller == peer:
            return
        node, other = self.nodes[puller], self.nodes[peer]
        sent_at_s = self.now_s
        self.now_s += delay_s
        for reporter in (node, other):
            view = HostView(status=reporter.status, as_of_s=self.now_s)
            reporter.statuses = mbr.merge_status(reporter.statuses, view)
        after = mbr.find_resume_position(
            node.read_positions.get(other.host.host_id), other.host.incarnation
        )
        changes = mbr.make_aged_statuses(other.statuses, now_s=self.now_s, after=after)
        ages = mbr.make_status_ages(self.roster, other.statuses, now_s=self.now_s)
        if lost:
            return
        others = tuple(
            entry for entry in changes if entry.status.host_id != node.host.host_id
        )
        received = mbr.receive_statuses(node.statuses, others, sent_at_s=sent_at_s)
        node.statuses = mbr.refresh_status_times(
            received, ages, self.roster, own_id=node.host.host_id, sent_at_s=sent_at_s
        )
        if mbr.is_missing_statuses(node.statuses, ages, self.roster):
            node.read_positions.pop(other.host.host_id, None)
        else:
            node.read_positions[other.host.host_id] = JournalPosition(
                journal=other.host.incarnation, position=other.statuses.position
            )

    @rule()
    def pull_all_until_settled(self) -> None:
        for _ in range(4):
            self.now_s += 0.5
            for puller in range(HOSTS):
                for peer in range(HOSTS):
                    self.pull(puller, peer)
        for node in self.nodes:
            for other in self.nodes:
                view = node.statuses.by_host[other.host.host_id]
                assert view.status == other.status
                assert self.now_s - view.as_of_s <= 1.5

    @invariant()
    def no_status_is_dated_later_than_it_was_true(self) -> None:
        for node in self.nodes:
            for view in node.statuses.by_host.values():
                assert view.as_of_s <= self.ended_s.get(view.status, self.now_s)

    def _list_hosts(self) -> None:
        hosts = Map({node.host.host_id: node.host for node in self.nodes})
        self.roster = evolve(self.roster, version=self.roster.version + 1, hosts=hosts)


TestJournalMachine = JournalMachine.TestCase
TestJournalMachine.settings = settings(max_examples=200, stateful_step_count=30)


def test_a_reply_without_changes_carries_no_status() -> None:
    machine = JournalMachine()
    machine.pull_all_until_settled()
    first, second = machine.nodes[:2]
    after = mbr.find_resume_position(
        first.read_positions[second.host.host_id], second.host.incarnation
    )
    assert (
        mbr.make_aged_statuses(second.statuses, now_s=machine.now_s, after=after) == ()
    )


def test_ages_of_another_roster_are_ignored() -> None:
    machine = JournalMachine()
    machine.pull_all_until_settled()
    node = machine.nodes[0]
    ages = mbr.make_status_ages(machine.roster, node.statuses, now_s=machine.now_s)
    newer = evolve(machine.roster, version=machine.roster.version + 1)
    refreshed = mbr.refresh_status_times(
        node.statuses,
        ages,
        newer,
        own_id=node.host.host_id,
        sent_at_s=machine.now_s + 9.0,
    )
    assert refreshed is node.statuses
    assert not mbr.is_missing_statuses(HostStatuses(), ages, newer)


def test_a_restart_is_known_despite_a_delayed_first_report() -> None:
    machine = JournalMachine()
    machine.pull(1, 0)
    machine.restart(0)
    machine.pull(1, 0, delay_s=0.9)
    machine.advance(0.5)
    machine.pull(1, 0)
    machine.advance(0.5)
    machine.pull(1, 0)
    machine.no_status_is_dated_later_than_it_was_true()
    known = machine.nodes[1].statuses.by_host[make_host(0).host_id]
    assert known.status == machine.nodes[0].status


def test_a_restarted_peer_starts_a_new_journal() -> None:
    machine = JournalMachine()
    machine.pull_all_until_settled()
    machine.restart(0)
    machine.change(2)
    machine.advance(0.5)
    machine.pull(0, 2)
    machine.pull(1, 0)
    machine.no_status_is_dated_later_than_it_was_true()
    known = machine.nodes[1].statuses.by_host[make_host(2).host_id]
    assert known.status == machine.nodes[2].status


@given(st.floats(0.0, 20.0))
def test_an_age_is_never_understated(age_s: float) -> None:
    machine = JournalMachine()
    machine.pull(1, 0)
    now_s = machine.now_s + age_s
    ages = mbr.make_status_ages(machine.roster, machine.nodes[1].statuses, now_s=now_s)
    assert ages.ages[0] == 255 or ages.ages[0] * 0.02 >= age_s - 1e-9
    assert (ages.ages[0] == 255) == (age_s > 254 * 0.02)
