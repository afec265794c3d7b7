from random import Random

import pytest
from attrs import define, evolve, field
from immutables import Map

from snipespring.decisions.catalog import group_servers_by_service
from snipespring.decisions.routing import (
    Chosen,
    WarmupBounds,
    begin_warmups,
    choose_server,
    cold_rate_per_s,
    release_server,
    reserve_server,
)
from snipespring.decisions.tests.test_server_relay import server
from snipespring.records import (
    ServerLoads,
    ServerRule,
    ServerStates,
    ServiceName,
    SubsetMember,
)

from .test_choice import MEMBERS, REPEATABLE, make_answer, make_subset

BOUNDS = WarmupBounds(overshoot=1.5, slack=8.0)
TOLERATED_PER_S = 4.9
BOUND = TOLERATED_PER_S * BOUNDS.overshoot + BOUNDS.slack
RATE_PER_S = cold_rate_per_s(TOLERATED_PER_S, BOUNDS)
STEP_S = 0.01


def make_cold(until_s: float, since_s: float = 0.0) -> SubsetMember:
    rule = evolve(MEMBERS[0].rule, warm_at_s=until_s)
    return SubsetMember(rule=rule, since_s=since_s)


@define(kw_only=True, eq=False)
class Fleet:
    """Send requests of many hosts; record when they reach the first server."""

    hosts: int
    rng: Random
    now_s: float = 100.0
    members: tuple[SubsetMember, ...] = ()
    loads: dict[int, ServerLoads] = field(factory=dict)
    arrivals: list[float] = field(factory=list)

    def tell(self, *members: SubsetMember, known_hosts: int | None = None) -> None:
        self.members = members
        for number in range(self.hosts):
            self.loads[number] = begin_warmups(
                self.loads.get(number, ServerLoads()),
                members=members,
                rate_per_s=RATE_PER_S,
                hosts=known_hosts,
                phase=self.rng.random(),
                now_s=self.now_s,
            )

    def run(self, until_s: float, per_host_s: float) -> None:
        while self.now_s < until_s:
            for number in range(self.hosts):
                if self.rng.random() < per_host_s * STEP_S:
                    self.loads[number] = self.ask(self.loads[number])
            self.now_s += STEP_S

    def ask(self, loads: ServerLoads) -> ServerLoads:
        subset, now_s = make_subset(self.members, 3), self.now_s
        choice = choose_server(
            subset, loads, ServerStates(), REPEATABLE, now_s=now_s, rng=self.rng
        )
        if not isinstance(choice, Chosen):
            return loads
        if choice.server == MEMBERS[0].rule.server:
            self.arrivals.append(now_s)
        loads = reserve_server(loads, choice.server, hosts=self.hosts, now_s=now_s)
        return release_server(
            loads, choice.server, make_answer(), started_s=now_s, now_s=now_s
        )


@pytest.mark.parametrize("hosts", [6, 105, 300])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_known", [True, False])
def test_cold_server_stays_within_its_bound(
    hosts: int, seed: int, is_known: bool
) -> None:
    # Guards against a crash of the server: when all hosts ask at once after a calm,
    # when its entry turns cold again, and when no host knows another after a restart.
    fleet = Fleet(hosts=hosts, rng=Random(seed))
    fleet.tell(make_cold(120.0), known_hosts=hosts if is_known else None)
    fleet.run(110.0, per_host_s=0.0)
    fleet.run(113.0, per_host_s=50.0)
    fleet.tell(make_cold(125.0), known_hosts=hosts if is_known else None)
    fleet.run(118.0, per_host_s=50.0)
    times = fleet.arrivals
    counts = [sum(at <= other < at + 1.0 for other in times) for at in times]
    assert max(counts, default=0) <= BOUND
    # A service whose servers are all cold is still served.
    assert len(times) >= 8.0 * TOLERATED_PER_S / 2 or not is_known


@pytest.mark.parametrize("seed", range(5))
def test_warm_servers_go_first_but_one_that_joins_is_used(seed: int) -> None:
    # Guards against slow answers from cold servers, and against servers never tried.
    fleet = Fleet(hosts=105, rng=Random(seed))
    fleet.tell(make_cold(130.0), *MEMBERS[1:], known_hosts=105)
    fleet.run(104.0, per_host_s=3.0)
    assert fleet.arrivals == []
    fleet.tell(make_cold(140.0, since_s=104.0), *MEMBERS[1:], known_hosts=105)
    fleet.run(108.0, per_host_s=3.0)
    assert fleet.arrivals


def test_server_that_turns_cold_again_is_cold_at_once() -> None:
    # Guards against an entry that is ignored because the server is known.
    entry, found = server("a"), []
    rules: Map[ServiceName, tuple[ServerRule, ...]] = Map()
    for now_s, revision, warmup_s in [
        (10.0, 1, 3.0),
        (12.0, 1, 3.0),
        (20.0, 5, 3.0),
        (21.0, 6, 0.0),
    ]:
        entry = evolve(entry, warmup_s=warmup_s)
        rules = group_servers_by_service(
            (entry,), rules, now_s=now_s, revisions={"a": revision}
        )
        found.append(rules[entry.service][0].warm_at_s)
    assert found == [13.0, 13.0, 23.0, 21.0]
