from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.decisions.routing import choose_subset, order_hosts
from snipespring.records import (
    Address,
    DomainName,
    Host,
    HostId,
    Incarnation,
    Roster,
    ServerId,
    ServerRule,
    ServerSubset,
    ServiceName,
    ServiceRule,
)

SERVICE = ServiceName("ledger")
DOMAINS = 3


def make_host(number: int) -> Host:
    address = Address(ip="127.0.0.1", port=number + 1)
    return Host(
        host_id=HostId(f"host-{number}"),
        incarnation=Incarnation("1"),
        domain=DomainName(f"domain-{number % DOMAINS}"),
        callers=address,
        peers=address,
        operators=address,
    )


def make_roster(count: int) -> Roster:
    hosts = [make_host(number) for number in range(count)]
    return Roster(version=1, hosts=Map({one.host_id: one for one in hosts}))


def make_servers(count: int) -> tuple[ServerRule, ...]:
    return tuple(
        ServerRule(
            server=ServerId(
                service=SERVICE, address=Address(ip="127.0.0.2", port=number + 1)
            ),
            domain=DomainName(f"domain-{number % DOMAINS}"),
            asked_by="a test",
        )
        for number in range(count)
    )


def choose_subsets(
    hosts: int, server_count: int, connections: int
) -> dict[HostId, ServerSubset]:
    service = ServiceRule(name=SERVICE, connections=connections, asked_by="a test")
    ordered = order_hosts(make_roster(hosts))
    return {
        own.host_id: choose_subset(
            service, make_servers(server_count), ordered, own, previous=None, now_s=1.0
        )
        for own in ordered
    }


def count_users(chosen: dict[HostId, ServerSubset]) -> Counter[ServerId]:
    return Counter(
        member.rule.server for one in chosen.values() for member in one.members
    )


@given(hosts=st.integers(1, 60), count=st.integers(6, 20), limit=st.integers(20, 90))
def test_no_server_gets_more_connections_than_its_limit(
    hosts: int, count: int, limit: int
) -> None:
    chosen = choose_subsets(hosts, count, limit)
    cap = max(one.in_flight_cap for one in chosen.values())
    assert max(count_users(chosen).values()) * cap <= limit


def test_every_host_uses_every_server_of_a_small_fleet() -> None:
    chosen = choose_subsets(44, 14, 330)
    assert all(len(one.members) == 14 for one in chosen.values())
    assert all(one.in_flight_cap == 3 for one in chosen.values())


def test_subsets_of_the_target_fleet_are_balanced() -> None:
    counts = count_users(choose_subsets(870, 16, 330))
    assert len(counts) == 16
    assert max(counts.values()) <= 330
    assert max(counts.values()) <= 1.5 * min(counts.values())


@given(hosts=st.integers(300, 340))
def test_added_host_changes_at_most_two_servers_of_each_subset(hosts: int) -> None:
    before, after = choose_subsets(hosts, 16, 100), choose_subsets(hosts + 1, 16, 100)
    for host_id, old in before.items():
        old_servers = {member.rule.server for member in old.members}
        new_servers = {member.rule.server for member in after[host_id].members}
        assert len(old_servers - new_servers) <= 2


def test_join_time_of_later_server_is_set() -> None:
    service = ServiceRule(name=SERVICE, asked_by="a test")
    hosts = order_hosts(make_roster(3))
    old = choose_subset(
        service, make_servers(2), hosts, hosts[0], previous=None, now_s=5.0
    )
    new = choose_subset(
        service, make_servers(3), hosts, hosts[0], previous=old, now_s=9.0
    )
    assert [member.since_s for member in new.members] == [0.0, 0.0, 9.0]
