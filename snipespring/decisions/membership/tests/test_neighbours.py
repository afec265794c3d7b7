from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.membership import choose_neighbours
from snipespring.records import HostId, Roster

from .fleet_model import make_roster

FANOUT = 4
MAX_HOPS = 9
Graph = dict[HostId, list[HostId]]


def make_pull_graph(roster: Roster, alive: set[HostId]) -> Graph:
    """Return the hosts that pull from each host."""
    graph: Graph = {host_id: [] for host_id in alive}
    for host_id in alive:
        for other in choose_neighbours(roster, roster.hosts[host_id], FANOUT):
            if other.host_id in alive:
                graph[other.host_id].append(host_id)
    return graph


def count_hops(graph: Graph, start: HostId) -> dict[HostId, int]:
    hops = {start: 0}
    queue = deque([start])
    while queue:
        host_id = queue.popleft()
        for other in graph[host_id]:
            if other not in hops:
                hops[other] = hops[host_id] + 1
                queue.append(other)
    return hops


@given(st.integers(2, 60), st.integers(1, 6))
def test_updates_of_each_host_reach_every_host(count: int, domains: int) -> None:
    roster = make_roster(count, domains=domains)
    graph = make_pull_graph(roster, set(roster.hosts))
    for host_id in roster.hosts:
        assert len(count_hops(graph, host_id)) == count


@given(st.integers(12, 60), st.integers(3, 6))
def test_neighbours_lie_in_several_domains(count: int, domains: int) -> None:
    roster = make_roster(count, domains=domains)
    for host in roster.hosts.values():
        chosen = choose_neighbours(roster, host, FANOUT)
        assert len({other.domain for other in chosen}) == min(domains, FANOUT)
        assert host not in chosen


@pytest.mark.parametrize("lost", [None, 0, 5])
def test_870_hosts_are_reached_in_few_hops_without_a_domain(lost: int | None) -> None:
    roster = make_roster(870, domains=6)
    alive = {
        host_id for host_id, host in roster.hosts.items() if host.domain != f"d{lost}"
    }
    graph = make_pull_graph(roster, alive)
    for start in sorted(alive)[:12]:
        hops = count_hops(graph, start)
        # A host whose pullers all failed is reached again once the roster omits them.
        assert len(hops) == len(alive) or not graph[start]
        assert max(hops.values()) <= MAX_HOPS


def test_a_joining_host_changes_few_neighbours() -> None:
    before = make_roster(44)
    after = make_roster(45)
    changed = sum(
        set(choose_neighbours(before, host, FANOUT))
        != set(choose_neighbours(after, host, FANOUT))
        for host in before.hosts.values()
    )
    assert changed <= 12
