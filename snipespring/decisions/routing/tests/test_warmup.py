from random import Random

import pytest
from attrs import define, evolve, field
from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.decisions.catalog import group_servers_by_service
from snipespring.decisions.routing import (
    Chosen,
    ServersBusy,
    WarmupBounds,
    begin_warmups,
    choose_server,
    cold_rate_per_s,
    release_server,
    reserve_server,
)
from snipespring.decisions.tests.test_server_relay import server
from snipespring.records import (
    Placement,
    ServerLoads,
    ServerStates,
    SubsetMember,
)

from .test_choice import MEMBERS, NEAR, make_answer, make_subset

BOUNDS = WarmupBounds(overshoot=1.5, slack=8.0)
TOLERATED_PER_S = 4.9
RATE_PER_S = cold_rate_per_s(TOLERATED_PER_S, BOUNDS)
STEP_S = 0.01


def make_cold(member: SubsetMember, until_s: float) -> SubsetMember:
    return evolve(member, rule=evolve(member.rule, warm_at_s=until_s))


@define(kw_only=True, eq=False)
class Fleet:
    """Send requests of many hosts to one cold server; count those that reach it."""

    hosts: int
    seed: int
    members: tuple[SubsetMember, ...]
    now_s: float = 100.0
    rng: Random = field(init=False)
    loads: list[ServerLoads] = field(init=False)
    arrivals: list[float] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.loads = [ServerLoads()] * self.hosts
        self.tell(self.members)

    def tell(self, members: tuple[SubsetMember, ...]) -> None:
        self.members = members
        self.loads = [
            begin_warmups(
                loads,
                members=members,
                rate_per_s=RATE_PER_S,
                hosts=self.hosts,
                phase=self.rng.random(),
                now_s=self.now_s,
            )
            for loads in self.loads
        ]

    def run(self, until_s: float, per_host_s: float) -> None:
        """Let each host ask `per_host_s` times a second."""
        cold = self.members[0].rule.server
        while self.now_s < until_s:
            for number in range(self.hosts):
                if self.rng.random() < per_host_s * STEP_S:
                    self.ask(number, cold)
            self.now_s += STEP_S

    def ask(self, number: int, cold: object) -> None:
        loads = self.loads[number]
        choice = choose_server(
            make_subset(self.members, 3),
            loads,
            ServerStates(),
            Placement(domain=NEAR, repeatable=True),
            now_s=self.now_s,
            rng=self.rng,
        )
        if isinstance(choice, Chosen):
            loads = reserve_server(
                loads, choice.server, hosts=self.hosts, now_s=self.now_s
            )
            self.loads[number] = release_server(
                loads,
                choice.server,
                make_answer(),
                started_s=self.now_s,
                now_s=self.now_s,
            )
            if choice.server == cold:
                self.arrivals.append(self.now_s)

    def most_in_a_second(self) -> int:
        times = self.arrivals
        return max(
            (sum(at <= other < at + 1.0 for other in times) for at in times), default=0
        )


@pytest.mark.parametrize("hosts", [6, 105, 300])
@pytest.mark.parametrize("seed", range(3))
def test_cold_server_stays_within_its_bound_whatever_is_asked(
    hosts: int, seed: int
) -> None:
    # Guards against a crash of the server, also when all hosts ask at once after a time
    # without requests, and when its entry turns cold again meanwhile.
    fleet = Fleet(hosts=hosts, seed=seed, members=(make_cold(MEMBERS[0], 120.0),))
    fleet.run(110.0, per_host_s=0.0)
    fleet.run(114.0, per_host_s=50.0)
    fleet.tell((make_cold(MEMBERS[0], 125.0),))
    fleet.run(120.0, per_host_s=50.0)
    bound = TOLERATED_PER_S * BOUNDS.overshoot + BOUNDS.slack
    assert fleet.most_in_a_second() <= bound
    # A service whose servers are all cold is still served.
    assert len(fleet.arrivals) >= 10.0 * TOLERATED_PER_S / 2


def test_cold_server_gets_only_what_warm_ones_have_no_room_for() -> None:
    members = (make_cold(MEMBERS[0], 120.0), *MEMBERS[1:])
    fleet = Fleet(hosts=105, seed=1, members=members)
    fleet.run(104.0, per_host_s=5.0)
    assert fleet.arrivals == []


@pytest.mark.parametrize("seed", range(5))
def test_server_that_joins_cold_is_used_within_four_seconds(seed: int) -> None:
    # Guards against servers that no host tries because others have room.
    joined = evolve(make_cold(MEMBERS[0], 130.0), since_s=100.0)
    fleet = Fleet(hosts=105, seed=seed, members=(joined, *MEMBERS[1:]))
    fleet.run(104.0, per_host_s=3.0)
    assert fleet.arrivals


def test_server_that_turns_cold_again_is_limited_at_once() -> None:
    # Guards against an entry that is ignored because the server is known.
    entry = evolve(server("a"), warmup_s=3.0)
    revisions = {"a": 1}
    first = group_servers_by_service((entry,), Map(), now_s=10.0, revisions=revisions)
    (rule,) = first[entry.service]
    assert rule.warm_at_s == 13.0
    again = group_servers_by_service((entry,), first, now_s=12.0, revisions={"a": 1})
    assert again == first
    again = group_servers_by_service((entry,), first, now_s=20.0, revisions={"a": 5})
    (rule,) = again[entry.service]
    assert rule.warm_at_s == 23.0
    warm = evolve(entry, warmup_s=0.0)
    ended = group_servers_by_service((warm,), again, now_s=21.0, revisions={"a": 6})
    assert ended[entry.service][0].warm_at_s == 21.0


def test_server_is_used_freely_once_it_is_warm() -> None:
    fleet = Fleet(hosts=1, seed=1, members=(make_cold(MEMBERS[0], 101.0),))
    fleet.now_s = 101.0
    fleet.run(102.0, per_host_s=50.0)
    assert len(fleet.arrivals) > 30


def test_host_that_knows_no_others_assumes_the_largest_fleet() -> None:
    # Guards against a restarted fleet in which each host takes itself for the only one.
    members = (make_cold(MEMBERS[0], 120.0),)
    loads = begin_warmups(
        ServerLoads(),
        members=members,
        rate_per_s=RATE_PER_S,
        hosts=None,
        phase=0.5,
        now_s=100.0,
    )
    choice = choose_server(
        make_subset(members, 3),
        loads,
        ServerStates(),
        Placement(domain=NEAR),
        now_s=100.0,
        rng=Random(1),
    )
    # The server is warm before its turn.
    assert choice == ServersBusy(free_at_s=120.0, waits_for_attempts=False)


@given(rate_per_s=st.floats(0.1, 50.0), slack=st.floats(0.0, 20.0))
def test_mean_rate_follows_the_bound(rate_per_s: float, slack: float) -> None:
    mean_per_s = cold_rate_per_s(rate_per_s, WarmupBounds(overshoot=1.0, slack=slack))
    assert 0.0 < mean_per_s < rate_per_s
