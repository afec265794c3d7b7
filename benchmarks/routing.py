"""Measure routing, fair queuing, hedging and retries on the decision code."""

import argparse
from collections.abc import Iterable
from math import inf
from multiprocessing import get_context
from random import Random

import numpy as np
from attrs import frozen

from snipespring.decisions.attempts import TryAgain, decide_after_attempt
from snipespring.decisions.retries import NoBudget, earn_retry, spend_retry
from snipespring.records import AnswerLate, RetryBudget, RunIdempotent

from .routing_fleet import (
    HOSTS,
    MAX_ATTEMPTS,
    RETRY_SHARE,
    AnyServer,
    Fleet,
    Plan,
    Policy,
    Product,
    TwoByOwn,
    TwoByReport,
    rate_at_use,
)

__all__ = ["main"]

POLICIES: tuple[tuple[str, Policy], ...] = (
    ("random", AnyServer()),
    ("two choices, own in flight", TwoByOwn()),
    ("two choices, last report", TwoByReport()),
    ("chosen", Product()),
)
USES = (0.5, 0.8, 0.95)
ORGANISATIONS = 8
LARGE_FACTOR = 5.0
NORMAL_USE = 0.8
HEDGE_AFTER_S = 0.06  # about the 95th percentile of the time of work
OUTAGE_RATE = 500.0
PROCESSES = 5


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
    with get_context("fork").Pool(PROCESSES) as pool:
        for line in pool.imap(_measure, cases):
            print(line, flush=True)
    for limited in (True, False):
        print(_measure_outage(limited, args.seconds, args.seed))


def _list_cases(seconds: float, seed: int) -> Iterable[Case]:
    for use in USES:
        for name, policy in POLICIES:
            plan = Plan(
                policy=policy, rates=(rate_at_use(use),), seconds=seconds, seed=seed
            )
            yield Case(table=f"use {use:.0%}", name=name, plan=plan)
    normal = rate_at_use(NORMAL_USE) / ORGANISATIONS
    rates = (normal * LARGE_FACTOR, *[normal] * (ORGANISATIONS - 1))
    for fair in (True, False):
        plan = Plan(policy=Product(fair=fair), rates=rates, seconds=seconds, seed=seed)
        name = "fair order" if fair else "order of arrival"
        yield Case(table="one organisation at 5 times", name=name, plan=plan)
    for slow in (0, 1):
        for after_s in (inf, HEDGE_AFTER_S):
            plan = Plan(
                policy=Product(),
                rates=(rate_at_use(NORMAL_USE),),
                seconds=seconds,
                seed=seed,
                hedge_after_s=after_s,
                slow_servers=slow,
            )
            name = (
                "no hedge" if after_s == inf else f"hedge after {after_s * 1e3:.0f} ms"
            )
            yield Case(table=f"{slow} of 14 servers 5 times slow", name=name, plan=plan)


def _measure(case: Case) -> str:
    fleet = Fleet(plan=case.plan).run()
    others = range(1 if len(case.plan.rates) > 1 else 0, len(case.plan.rates))
    success = [len(fleet.latencies[one]) / fleet.asked[one] for one in others]
    p99_ms = [np.percentile(fleet.latencies[one], 99) * 1e3 for one in others]
    p50_ms = np.median(np.concatenate([fleet.latencies[one] for one in others])) * 1e3
    asked = sum(fleet.asked)
    return (
        f"{case.table}: {case.name}:"
        f" conflicts/1000 {fleet.conflicts * 1e3 / asked:.0f},"
        f" sheds/1000 {fleet.sheds * 1e3 / asked:.1f},"
        f" worst success {min(success):.4f},"
        f" p50 {p50_ms:.0f} ms, worst p99 {max(p99_ms):.0f} ms,"
        f" attempts a request {fleet.attempts / asked:.3f}"
    )


def _measure_outage(limited: bool, seconds: float, seed: int) -> str:
    """Let every attempt fail after a healthy time in which budgets filled."""
    rng = Random(seed)
    full = RetryBudget(allowed=inf, at_s=0.0)
    budgets = [earn_retry(full, RETRY_SHARE, 0.0) for _ in range(HOSTS)]
    now_s, first, attempts = 0.0, 0, 0
    while (now_s := now_s + rng.expovariate(OUTAGE_RATE)) < seconds:
        host = rng.randrange(HOSTS)
        budgets[host] = earn_retry(budgets[host], RETRY_SHARE, now_s)
        first += 1
        for attempt in range(1, MAX_ATTEMPTS + 1):
            attempts += 1
            late = AnswerLate(waited_s=0.5)
            if attempt == MAX_ATTEMPTS or not isinstance(
                decide_after_attempt(late, RunIdempotent()), TryAgain
            ):
                break
            match spend_retry(budgets[host], now_s):
                case RetryBudget() as left:
                    budgets[host] = left
                case NoBudget() if limited:
                    break
    name = "with the budget" if limited else "without a budget"
    return f"full outage: {name}: {attempts / first:.4f} attempts a request"


if __name__ == "__main__":
    main()
