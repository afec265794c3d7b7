from collections.abc import Callable
from random import Random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.health import (
    absorb_report,
    judge_pool,
    make_list,
    open_pool,
    policy_of,
)
from snipespring.decisions.health.floors import leaves_floor
from snipespring.decisions.health.trials import advance_entry
from snipespring.records import (
    ActiveEjection,
    ActiveTrial,
    Address,
    EjectCarefully,
    EjectionPreference,
    EjectQuickly,
    EvidencePool,
    Histogram,
    OutcomeCounts,
    ServerId,
    ServiceRule,
    Tally,
    Tenure,
)

from .builders import (
    RULE,
    SERVERS,
    SERVICE,
    SLOW_BUCKET,
    answers,
    make_report,
    pool_rounds,
    with_errors,
)

HOSTS = range(6)
SICK = SERVERS[0]
Behaviour = Callable[[int, int, ServerId], OutcomeCounts]


def run(behave: Behaviour, rounds: int = 24, rule: ServiceRule = RULE) -> EvidencePool:
    """Let `behave` give the cumulative counts by round, host and server."""
    return pool_rounds(
        [
            {
                host: {server: behave(done, host, server) for server in SERVERS}
                for host in HOSTS
            }
            for done in range(rounds)
        ],
        rule=rule,
    )


def fails_for(hosts: range) -> Behaviour:
    def behave(done: int, host: int, server: ServerId) -> OutcomeCounts:
        if server == SICK and host in hosts:
            return with_errors(answers(0), done)
        return answers(done)

    return behave


def is_slow(done: int, _host: int, server: ServerId) -> OutcomeCounts:
    warm = answers(min(done, 8))
    if server != SICK or done <= 8:
        return answers(done)
    slow = Histogram(first=15, counts=(8, *(0,) * (SLOW_BUCKET - 16), done - 8))
    return evolve(warm, answered=slow)


@pytest.mark.parametrize("behave", [fails_for(range(6)), is_slow])
def test_sick_server_is_the_only_one_ejected(behave: Behaviour) -> None:
    assert list(run(behave).entries) == [SICK]


def test_fault_of_the_whole_service_ejects_nobody() -> None:
    pool = run(lambda done, _host, _server: with_errors(answers(done), done))
    assert not pool.entries


def test_uneven_load_on_a_degraded_service_ejects_nobody() -> None:
    def behave(done: int, _host: int, server: ServerId) -> OutcomeCounts:
        errors = done if server == SICK else (done + server.address.port) // 4
        return with_errors(answers(2 * done), errors)

    assert not run(behave, rounds=40).entries


@pytest.mark.parametrize("hosts", [range(1), range(0, 6, 3)])
def test_path_fault_of_a_host_or_a_domain_ejects_nobody(hosts: range) -> None:
    assert not run(fails_for(hosts), rounds=80).entries


@pytest.mark.parametrize(
    "preference, count", [(EjectCarefully(), 0), (EjectQuickly(), 1)]
)
def test_one_pause_of_a_full_server(preference: EjectionPreference, count: int) -> None:
    def behave(done: int, _host: int, server: ServerId) -> OutcomeCounts:
        if server != SICK or done <= 4:
            return answers(3 * done)
        return with_errors(answers(3 * done - 3), 1)

    pool = run(behave, rule=evolve(RULE, ejection=preference))
    assert len(pool.entries) == count


def test_one_witness_alone_ejects_nobody() -> None:
    def behave(done: int, host: int, server: ServerId) -> OutcomeCounts:
        if server != SICK:
            return answers(done)
        return with_errors(answers(0), done if host == 0 else 0)

    assert not run(behave, rounds=40).entries


def test_trial_is_judged_against_the_servers_in_service() -> None:
    policy = policy_of(RULE.ejection)
    trial = ActiveTrial(reason="", stage=0, since_s=0.0, stage_since_s=0.0, count=1)
    fresh = Tally(good=7, bad=3)
    alone = advance_entry(trial, fresh, policy, base=0.0, now_s=1.0)
    assert isinstance(alone, ActiveEjection)
    among = advance_entry(trial, fresh, policy, base=0.2, now_s=1.0)
    assert isinstance(among, ActiveTrial)


def test_stalled_attempts_count_before_they_end() -> None:
    pool = open_pool(Tenure(version=1, lease_until_s=1e9), 0.0)
    for sequence in range(1, 9):
        for host in HOSTS:
            counts = dict.fromkeys(SERVERS[1:], answers(4 * sequence))
            report = make_report(host, sequence, {**counts, SICK: answers(0)})
            stalled = Histogram(first=SLOW_BUCKET, counts=(sequence,))
            servers = (*report.servers[:-1],)
            last = evolve(report.servers[-1], under_way=stalled)
            report = evolve(report, servers=(*servers, last))
            pool = absorb_report(pool, report, sequence / 4)
        pool = judge_pool(pool, RULE, frozenset(SERVERS), now_s=sequence / 4)
    assert list(pool.entries) == [SICK]


def test_healthy_service_is_left_alone_for_a_virtual_hour() -> None:
    rng = Random(870)
    totals = {server: OutcomeCounts() for server in SERVERS}
    pool = open_pool(Tenure(version=1, lease_until_s=1e9), 0.0)
    for second in range(1, 3601):
        for server in SERVERS:
            wrong = sum(rng.random() < 0.001 for _ in range(20))
            held = totals[server]
            good = sum(held.answered.counts) + 20 - wrong
            totals[server] = with_errors(answers(good), held.errors + wrong)
        for host in (0, 1):
            pool = absorb_report(pool, make_report(host, second, totals), second)
        pool = judge_pool(pool, RULE, frozenset(SERVERS), now_s=second)
        assert not pool.entries


def test_hold_then_trial_then_failure_doubles_the_hold() -> None:
    pool = run(fails_for(range(6)), rounds=10)
    first = pool.entries[SICK]
    assert isinstance(first, ActiveEjection)
    pool = judge_pool(pool, RULE, frozenset(SERVERS), now_s=first.until_s)
    trial = pool.entries[SICK]
    assert isinstance(trial, ActiveTrial)
    assert make_list(pool, SERVICE, policy_of(RULE.ejection), 0.0).on_trial[0].share < 1
    for host in HOSTS:
        counts = {SICK: with_errors(answers(0), 50)}
        pool = absorb_report(pool, make_report(host, 99, counts), first.until_s + 1)
    pool = judge_pool(pool, RULE, frozenset(SERVERS), now_s=first.until_s + 1)
    again = pool.entries[SICK]
    assert isinstance(again, ActiveEjection)
    assert again.until_s - again.since_s == 2 * (first.until_s - first.since_s)


@given(
    count=st.integers(1, 40),
    floor=st.floats(0, 1),
    taken=st.integers(0, 40),
)
def test_floor_is_the_rounded_up_share(count: int, floor: float, taken: int) -> None:
    servers = frozenset(ServerId(service=SERVICE, address=a) for a in _addresses(count))
    out = frozenset(sorted(servers)[:taken])
    left = count - min(taken, count)
    assert leaves_floor(servers, out, floor) == (left >= floor * count - 1e-9)


def _addresses(count: int) -> list[Address]:
    return [Address(ip="10.0.0.2", port=n) for n in range(count)]
