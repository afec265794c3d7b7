"""Measure routing, fair queuing, hedging and retries on the decision code."""

import argparse
import tracemalloc
from collections.abc import Iterable
from math import inf
from multiprocessing import get_context
from random import Random
from time import perf_counter

import numpy as np
from attrs import evolve, frozen

from snipespring.decisions.attempts import Retry, decide_after_attempt
from snipespring.decisions.retries import (
    BudgetExhausted,
    earn_retry,
    max_balance_per_host,
    spend_retry,
)
from snipespring.decisions.routing import (
    Chosen,
    choose_server,
    choose_subset,
    release_server,
    reserve_server,
)
from snipespring.records import (
    Address,
    Answered,
    AnswerLate,
    DomainName,
    Host,
    HostId,
    Incarnation,
    Placement,
    ReportedLoad,
    RetryBudget,
    RunIdempotent,
    ServerId,
    ServerLoads,
    ServerRule,
    ServerStates,
    ServiceRule,
)

from .routing_fleet import Fleet
from .routing_plans import (
    HOSTS,
    MAX_ATTEMPTS,
    RETRY_FRACTION,
    SERVERS,
    SERVICE,
    Plan,
    Policy,
    ProjectRouting,
    RandomServer,
    TwoByLocalLoad,
    TwoByReportedLoad,
    rate_at_utilisation,
)

__all__ = ["main"]

POLICIES: tuple[tuple[str, Policy], ...] = (
    ("random", RandomServer()),
    ("two choices, own in flight", TwoByLocalLoad()),
    ("two choices, last report", TwoByReportedLoad()),
    ("chosen", ProjectRouting()),
)
UTILISATIONS = (0.5, 0.8, 0.95)
ORGANISATIONS = 8
HEAVY_FACTOR = 5.0
BASELINE_UTILISATION = 0.8
HEDGE_AFTER_S = 0.06  # about the 95th percentile of the time of work
OUTAGE_RATE_PER_S = 500.0
TARGET_HOSTS, TARGET_SERVERS, TARGET_SERVICES, TARGET_DOMAINS = 870, 9600, 620, 6
TARGET_RATE_PER_S = 110_000 / TARGET_SERVICES
CHOICE_COUNT = 20_000
PROCESS_COUNT = 5


@frozen(kw_only=True)
class Case:
    """Name a plan for the tables."""

    table: str
    name: str
    plan: Plan


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(prog="benchmarks.routing")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0, help="virtual seconds")
    args = parser.parse_args()
    cases = list(_list_cases(args.seconds, args.seed))
    with get_context("fork").Pool(PROCESS_COUNT) as pool:
        for line in pool.imap(_run_case, cases):
            print(line, flush=True)
    for hosts, rate in ((HOSTS, OUTAGE_RATE_PER_S), (TARGET_HOSTS, TARGET_RATE_PER_S)):
        for seconds in (10.0, 60.0):
            for limited in (True, False):
                print(_measure_outage(hosts, rate, limited, seconds))
    for servers in (SERVERS, TARGET_SERVERS // TARGET_SERVICES):
        print(_measure_choice(servers))
    print(_measure_subsets())


def _list_cases(duration_s: float, seed: int) -> Iterable[Case]:
    for use in UTILISATIONS:
        for name, policy in POLICIES:
            plan = Plan(
                policy=policy,
                rates_per_s=(rate_at_utilisation(use),),
                duration_s=duration_s,
                seed=seed,
            )
            yield Case(table=f"use {use:.0%}", name=name, plan=plan)
    normal = rate_at_utilisation(BASELINE_UTILISATION) / ORGANISATIONS
    rates = (normal * HEAVY_FACTOR, *[normal] * (ORGANISATIONS - 1))
    for fair in (True, False):
        plan = Plan(
            policy=ProjectRouting(fair=fair),
            rates_per_s=rates,
            duration_s=duration_s,
            seed=seed,
        )
        name = "fair order" if fair else "order of arrival"
        yield Case(table="one organisation at 5 times", name=name, plan=plan)
    for slow in (0, 1):
        for after_s in (inf, HEDGE_AFTER_S):
            plan = Plan(
                policy=ProjectRouting(),
                rates_per_s=(rate_at_utilisation(BASELINE_UTILISATION),),
                duration_s=duration_s,
                seed=seed,
                hedge_after_s=after_s,
                slow_server_count=slow,
            )
            name = (
                "no hedge" if after_s == inf else f"hedge after {after_s * 1e3:.0f} ms"
            )
            yield Case(table=f"{slow} of 14 servers 5 times slow", name=name, plan=plan)


def _run_case(case: Case) -> str:
    fleet = Fleet(plan=case.plan).run()
    others = range(
        1 if len(case.plan.rates_per_s) > 1 else 0, len(case.plan.rates_per_s)
    )
    success = [
        len(fleet.latencies_s[one]) / fleet.request_counts[one] for one in others
    ]
    p99_ms = [np.percentile(fleet.latencies_s[one], 99) * 1e3 for one in others]
    p50_ms = np.median(np.concatenate([fleet.latencies_s[one] for one in others])) * 1e3
    asked = sum(fleet.request_counts)
    return (
        f"{case.table}: {case.name}:"
        f" conflicts/1000 {fleet.conflict_count * 1e3 / asked:.0f},"
        f" sheds/1000 {fleet.shed_count * 1e3 / asked:.1f},"
        f" worst success {min(success):.4f},"
        f" p50 {p50_ms:.0f} ms, worst p99 {max(p99_ms):.0f} ms,"
        f" attempts a request {fleet.attempts / asked:.3f}"
    )


def _measure_outage(
    hosts: int, rate_per_s: float, has_budget: bool, duration_s: float
) -> str:
    """Let every attempt fail after a healthy time in which budgets filled."""
    rng = Random(1)
    most = max_balance_per_host(hosts)
    budgets = [RetryBudget(allowed=most, at_s=0.0) for _ in range(hosts)]
    now_s, first, attempts = 0.0, 0, 0
    while (now_s := now_s + rng.expovariate(rate_per_s)) < duration_s:
        host = rng.randrange(hosts)
        budgets[host] = earn_retry(
            budgets[host], RETRY_FRACTION, max_balance=most, now_s=now_s
        )
        first += 1
        for attempt in range(1, MAX_ATTEMPTS + 1):
            attempts += 1
            late = AnswerLate(waited_s=0.5)
            match decide_after_attempt(late, RunIdempotent()):
                case Retry() if attempt < MAX_ATTEMPTS:
                    pass
                case _:
                    break
            match spend_retry(budgets[host], now_s):
                case RetryBudget() as left:
                    budgets[host] = left
                case BudgetExhausted() if has_budget:
                    break
    name = "with the budget" if has_budget else "without a budget"
    ratio = attempts / first
    return f"outage of {duration_s:.0f} s, {hosts} hosts, {name}: {ratio:.4f} attempts"


def _measure_choice(servers: int) -> str:
    """Time one choice, reservation and release on a host."""
    plan = Plan(policy=ProjectRouting(), rates_per_s=(1.0,), duration_s=0.0, seed=1)
    fleet = Fleet(plan=plan)
    members = tuple(fleet.subset.members[number % SERVERS] for number in range(servers))
    subset = evolve(fleet.subset, members=members)
    answer = Answered(
        status=200, headers=(), body=b"", load=ReportedLoad(busy=1, slots=3)
    )
    placement = Placement(domain=fleet.hosts[0].domain, repeatable=True)
    loads, rng = ServerLoads(), Random(1)
    started_s = perf_counter()
    for number in range(CHOICE_COUNT):
        now_s = number * 0.01
        chosen = choose_server(
            subset, loads, ServerStates(), placement, now_s=now_s, rng=rng
        )
        assert isinstance(chosen, Chosen)
        loads = reserve_server(loads, chosen.server)
        loads = release_server(
            loads, chosen.server, answer, started_s=now_s, now_s=now_s
        )
    each_us = (perf_counter() - started_s) / CHOICE_COUNT * 1e6
    return f"a choice among {servers} servers, with its reservation: {each_us:.0f} us"


def _measure_subsets() -> str:
    """Time the choice of every subset of a host at the target size."""
    hosts = tuple(_make_host(number) for number in range(TARGET_HOSTS))
    rules = tuple(
        _make_server_rule(number) for number in range(TARGET_SERVERS // TARGET_SERVICES)
    )
    service = ServiceRule(name=SERVICE, asked_by="a benchmark")
    tracemalloc.start()
    started_s = perf_counter()
    subsets = [
        choose_subset(service, rules, hosts, hosts[0], previous=None, now_s=0.0)
        for _ in range(TARGET_SERVICES)
    ]
    took_s = perf_counter() - started_s
    size, _ = tracemalloc.get_traced_memory()
    return (
        f"subsets of {TARGET_SERVICES} services at {TARGET_HOSTS} hosts:"
        f" {took_s * 1e3:.0f} ms (traced), {size / 1024:.0f} KiB,"
        f" {len(subsets[0].members)} of {len(rules)} servers each"
    )


def _make_host(number: int) -> Host:
    address = Address(ip="127.0.0.1", port=number + 1)
    return Host(
        host_id=HostId(f"host-{number}"),
        incarnation=Incarnation("1"),
        domain=DomainName(f"domain-{number % TARGET_DOMAINS}"),
        callers=address,
        peers=address,
        operators=address,
    )


def _make_server_rule(number: int) -> ServerRule:
    address = Address(ip="127.0.0.2", port=number + 1)
    domain = DomainName(f"domain-{number % TARGET_DOMAINS}")
    server = ServerId(service=SERVICE, address=address)
    return ServerRule(server=server, domain=domain, asked_by="a benchmark")


if __name__ == "__main__":
    main()
