from collections.abc import Callable
from random import Random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.health import (
    add_report,
    create_pool,
    evaluate_pool,
    make_ejection_list,
    policy_of,
)
from snipespring.decisions.health.floors import satisfies_floor
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
    add_errors,
    count_answers,
    evaluate_rounds,
    make_report,
)

HOSTS = range(6)
UNHEALTHY = SERVERS[0]
Behaviour = Callable[[int, int, ServerId], OutcomeCounts]


def run_rounds(
    behaviour: Behaviour, rounds: int = 24, rule: ServiceRule = RULE
) -> EvidencePool:
    """Let `behaviour` give the cumulative counts by round, host and server."""
    return evaluate_rounds(
        [
            {
                host: {server: behaviour(done, host, server) for server in SERVERS}
                for host in HOSTS
            }
            for done in range(rounds)
        ],
        rule=rule,
    )


def fail_for_hosts(hosts: range) -> Behaviour:
    def behave(done: int, host: int, server: ServerId) -> OutcomeCounts:
        if server == UNHEALTHY and host in hosts:
            return add_errors(count_answers(0), done)
        return count_answers(done)

    return behave


def become_slow(done: int, _host: int, server: ServerId) -> OutcomeCounts:
    warm = count_answers(min(done, 8))
    if server != UNHEALTHY or done <= 8:
        return count_answers(done)
    slow = Histogram(first=15, counts=(8, *(0,) * (SLOW_BUCKET - 16), done - 8))
    return evolve(warm, answered=slow)


@pytest.mark.parametrize("behave", [fail_for_hosts(range(6)), become_slow])
def test_only_unhealthy_server_is_ejected(behave: Behaviour) -> None:
    assert list(run_rounds(behave).entries) == [UNHEALTHY]


def test_service_wide_fault_ejects_no_server() -> None:
    pool = run_rounds(
        lambda done, _host, _server: add_errors(count_answers(done), done)
    )
    assert not pool.entries


def test_uneven_errors_of_degraded_service_eject_no_server() -> None:
    def behave(done: int, _host: int, server: ServerId) -> OutcomeCounts:
        errors = done if server == UNHEALTHY else (done + server.address.port) // 4
        return add_errors(count_answers(2 * done), errors)

    assert not run_rounds(behave, rounds=40).entries


@pytest.mark.parametrize("hosts", [range(1), range(0, 6, 3)])
def test_path_fault_of_host_or_domain_ejects_no_server(hosts: range) -> None:
    assert not run_rounds(fail_for_hosts(hosts), rounds=80).entries


@pytest.mark.parametrize(
    "preference, count", [(EjectCarefully(), 0), (EjectQuickly(), 1)]
)
def test_single_pause_of_loaded_server(
    preference: EjectionPreference, count: int
) -> None:
    def behave(done: int, _host: int, server: ServerId) -> OutcomeCounts:
        if server != UNHEALTHY or done <= 4:
            return count_answers(3 * done)
        return add_errors(count_answers(3 * done - 3), 1)

    pool = run_rounds(behave, rule=evolve(RULE, ejection=preference))
    assert len(pool.entries) == count


def test_errors_of_single_host_eject_no_server() -> None:
    def behave(done: int, host: int, server: ServerId) -> OutcomeCounts:
        if server != UNHEALTHY:
            return count_answers(done)
        return add_errors(count_answers(0), done if host == 0 else 0)

    assert not run_rounds(behave, rounds=40).entries


def test_trial_is_compared_with_servers_in_service() -> None:
    policy = policy_of(RULE.ejection)
    trial = ActiveTrial(reason="", stage=0, since_s=0.0, stage_since_s=0.0, count=1)
    fresh = Tally(good=7, bad=3)
    alone = advance_entry(trial, fresh, policy, baseline=0.0, now_s=1.0)
    assert isinstance(alone, ActiveEjection)
    among = advance_entry(trial, fresh, policy, baseline=0.2, now_s=1.0)
    assert isinstance(among, ActiveTrial)


def test_stalled_attempts_count_while_under_way() -> None:
    pool = create_pool(Tenure(version=1, lease_until_s=1e9), 0.0)
    for sequence in range(1, 9):
        for host in HOSTS:
            counts = dict.fromkeys(SERVERS[1:], count_answers(4 * sequence))
            report = make_report(
                host, sequence, {**counts, UNHEALTHY: count_answers(0)}
            )
            stalled = Histogram(first=SLOW_BUCKET, counts=(sequence,))
            servers = (*report.servers[:-1],)
            last = evolve(report.servers[-1], under_way=stalled)
            report = evolve(report, servers=(*servers, last))
            pool = add_report(pool, report, sequence / 4)
        pool = evaluate_pool(pool, RULE, frozenset(SERVERS), now_s=sequence / 4)
    assert list(pool.entries) == [UNHEALTHY]


def test_healthy_service_has_no_ejection_in_simulated_hour() -> None:
    rng = Random(870)
    totals = {server: OutcomeCounts() for server in SERVERS}
    pool = create_pool(Tenure(version=1, lease_until_s=1e9), 0.0)
    for second in range(1, 3601):
        for server in SERVERS:
            wrong = sum(rng.random() < 0.001 for _ in range(20))
            held = totals[server]
            good = sum(held.answered.counts) + 20 - wrong
            totals[server] = add_errors(count_answers(good), held.errors + wrong)
        for host in (0, 1):
            pool = add_report(pool, make_report(host, second, totals), second)
        pool = evaluate_pool(pool, RULE, frozenset(SERVERS), now_s=second)
        assert not pool.entries


def test_failed_trial_doubles_ejection_duration() -> None:
    pool = run_rounds(fail_for_hosts(range(6)), rounds=10)
    first = pool.entries[UNHEALTHY]
    assert isinstance(first, ActiveEjection)
    pool = evaluate_pool(pool, RULE, frozenset(SERVERS), now_s=first.until_s)
    trial = pool.entries[UNHEALTHY]
    assert isinstance(trial, ActiveTrial)
    assert (
        make_ejection_list(pool, SERVICE, policy_of(RULE.ejection), 0.0)
        .on_trial[0]
        .share
        < 1
    )
    for host in HOSTS:
        counts = {UNHEALTHY: add_errors(count_answers(0), 50)}
        pool = add_report(pool, make_report(host, 99, counts), first.until_s + 1)
    pool = evaluate_pool(pool, RULE, frozenset(SERVERS), now_s=first.until_s + 1)
    again = pool.entries[UNHEALTHY]
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
    assert satisfies_floor(servers, out, floor) == (left >= floor * count - 1e-9)


def _addresses(count: int) -> list[Address]:
    return [Address(ip="10.0.0.2", port=n) for n in range(count)]
