from random import Random

from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.membership import Relay, Watch, decide_watch, draw_backoff_s
from snipespring.records import Host, ObservedObject, Roster

from .fleet_model import make_host, make_roster

NOW_S = 100.0


def decide(own_host: Host, roster: Roster, age_s: float) -> Watch | Relay:
    relayed = ObservedObject(version=1, content=b"", as_of_s=NOW_S - age_s)
    return decide_watch(
        own_host=own_host, roster=roster, relayed=relayed, now_s=NOW_S, rng=Random(1)
    )


@given(st.integers(1, 60), st.integers(1, 6))
def test_two_hosts_of_each_domain_watch(count: int, domains: int) -> None:
    roster = make_roster(count, domains=domains)
    watching = [
        host.domain
        for host in roster.hosts.values()
        if isinstance(decide(host, roster, 0.5), Watch)
    ]
    for domain in {host.domain for host in roster.hosts.values()}:
        members = [host for host in roster.hosts.values() if host.domain == domain]
        assert watching.count(domain) == min(2, len(members))


def test_other_hosts_take_over_from_silent_watchers_and_back_off_longer() -> None:
    roster = make_roster(30)
    duties = [decide(host, roster, 9.0) for host in roster.hosts.values()]
    assert all(isinstance(duty, Watch) for duty in duties)
    assert {duty.max_backoff_s for duty in duties if isinstance(duty, Watch)} == {
        2.0,
        30.0,
    }


def test_a_host_outside_the_roster_watches() -> None:
    assert isinstance(decide(make_host(50), make_roster(30), 0.1), Watch)


@given(st.integers(0, 500), st.integers(0, 999))
def test_backoff_stays_within_its_limit(failures: int, seed: int) -> None:
    assert 0.0 <= draw_backoff_s(failures, max_s=2.0, rng=Random(seed)) <= 2.0
