"""Measure wrong refusals and excess admissions: `python -m benchmarks.limits`."""

from collections.abc import Iterable
from random import Random
from typing import Annotated

import cappa
from attrs import evolve, frozen

from snipespring.decisions.limits import slot_holders
from snipespring.records import OrganisationName, OrganisationRule

from .limits_schemes import (
    EqualParts,
    OneCounter,
    Scheme,
    Shares,
    find_counter_holder,
    run_scheme,
)
from .limits_world import Bucket, Plan, Request, World, count_excess, make_roster

__all__ = ["main"]

HOSTS = 44
ORGANISATIONS = 8
RATE_PER_S = 100.0
HEAVY_FACTOR = 5.0
BURST_PERIOD_S = 1.0
BURST_LENGTH_S = 0.5
KILL_AT_S = 10.0
DETECTION_S = 3.0
FENCE_S = 4.4
HOUR_S = 3600.0
SLOW_RATE_PER_S = 10.0
COLUMNS = (
    "scenario",
    "scheme",
    "requests",
    "ideal",
    "wrongly refused",
    "fewer than ideal",
    "over",
    "p99 wait, ms",
    "whole after, s",
)
SCHEMES: tuple[Scheme, ...] = (Shares(), EqualParts(), OneCounter())


@frozen(kw_only=True)
class Result:
    """Hold what one scheme did in one scenario; shares are of ideal admissions."""

    scenario: str
    scheme: str
    requests: int
    ideal: int
    wrongly_refused: float
    shortfall: float
    excess: int
    wait_p99_s: float
    full_limit_after_s: float | None


@frozen(kw_only=True)
class Arguments:
    """Choose the seed, load and burst relative to the rate, and part of a name."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    load: Annotated[float, cappa.Arg(long=True)] = 0.8
    burst: Annotated[float, cappa.Arg(long=True)] = 1.0
    only: Annotated[str | None, cappa.Arg(long=True)] = None


def make_rules(count: int, rate_per_s: float, burst: float) -> list[OrganisationRule]:
    """Return rules of numbered organisations."""
    return [
        OrganisationRule(
            name=OrganisationName(f"organisation-{index}"),
            rate_per_s=rate_per_s,
            burst=burst,
            asked_by="benchmark",
        )
        for index in range(count)
    ]


def draw_arrival_times_s(
    rng: Random, rate_per_s: float, duration_s: float
) -> Iterable[float]:
    """Yield Poisson arrival times."""
    time_s = rng.expovariate(rate_per_s)
    while time_s < duration_s:
        yield time_s
        time_s += rng.expovariate(rate_per_s)


def make_even_arrivals(rng: Random, plan: Plan) -> list[Request]:
    """Spread each organisation's requests over all hosts."""
    return [
        Request(
            organisation=rule.name, host=rng.randrange(plan.hosts), arrived_at_s=time_s
        )
        for rule in plan.rules
        for time_s in draw_arrival_times_s(
            rng, plan.load * rule.rate_per_s, plan.duration_s
        )
    ]


def make_one_host_arrivals(rng: Random, plan: Plan) -> list[Request]:
    """Send each organisation's requests to one host of its own."""
    return [
        Request(organisation=rule.name, host=host, arrived_at_s=time_s)
        for rule in plan.rules
        for host in [rng.randrange(plan.hosts)]
        for time_s in draw_arrival_times_s(
            rng, plan.load * rule.rate_per_s, plan.duration_s
        )
    ]


def make_four_host_arrivals(rng: Random, plan: Plan) -> list[Request]:
    """Spread each organisation's requests over four hosts, as addresses do."""
    return [
        Request(organisation=rule.name, host=rng.choice(four), arrived_at_s=time_s)
        for rule in plan.rules
        for four in [rng.sample(range(plan.hosts), 4)]
        for time_s in draw_arrival_times_s(
            rng, plan.load * rule.rate_per_s, plan.duration_s
        )
    ]


def make_burst_arrivals(rng: Random, plan: Plan) -> list[Request]:
    """Send a burst each period, each to another host."""
    requests = []
    for rule in plan.rules:
        rate_per_s = plan.load * rule.rate_per_s * BURST_PERIOD_S / BURST_LENGTH_S
        for period in range(int(plan.duration_s / BURST_PERIOD_S)):
            host = rng.randrange(plan.hosts)
            requests += [
                Request(
                    organisation=rule.name,
                    host=host,
                    arrived_at_s=period * BURST_PERIOD_S + time_s,
                )
                for time_s in draw_arrival_times_s(rng, rate_per_s, BURST_LENGTH_S)
            ]
    return requests


def make_heavy_arrivals(rng: Random, plan: Plan) -> list[Request]:
    """Send several times the rate for the first organisation."""
    heavy = plan.rules[0]
    more = evolve(plan, rules=(heavy,))
    times = round(HEAVY_FACTOR / plan.load)
    extra = [req for _ in range(times - 1) for req in make_even_arrivals(rng, more)]
    return make_even_arrivals(rng, plan) + extra


def make_plans(load: float, burst: float) -> list[Plan]:
    """Return every scenario."""
    rules = tuple(make_rules(ORGANISATIONS, RATE_PER_S, burst * RATE_PER_S))
    slow = tuple(make_rules(1, SLOW_RATE_PER_S, burst * SLOW_RATE_PER_S))
    even = Plan(
        name="even over 44 hosts",
        rules=rules,
        make_requests=make_even_arrivals,
        load=load,
    )
    hour = evolve(even, name="platform away 1 h", rules=slow, duration_s=HOUR_S)
    heavy = evolve(
        even, name="one at 5 x: the 7 others", make_requests=make_heavy_arrivals
    )
    counter = find_counter_holder(make_roster(HOSTS, version=1), rules[0].name)
    killed = (
        *_list_slot_holders(rules[0], slots=1),
        *_list_slot_holders(rules[1], slots=1),
        counter,
    )
    return [
        even,
        evolve(even, name="all on one host", make_requests=make_one_host_arrivals),
        evolve(even, name="over four hosts", make_requests=make_four_host_arrivals),
        evolve(even, name="burst moving", make_requests=make_burst_arrivals),
        evolve(heavy, counted_organisations=frozenset(rule.name for rule in rules[1:])),
        evolve(
            heavy,
            name="one at 5 x: itself",
            counted_organisations=frozenset({rules[0].name}),
        ),
        evolve(
            even,
            name="3 of 44 killed, holders for two organisations",
            killed_hosts=killed,
            kill_at_s=KILL_AT_S,
            removed_at_s=KILL_AT_S + DETECTION_S,
            fenced_at_s=KILL_AT_S + DETECTION_S + FENCE_S,
        ),
        hour,
        evolve(
            hour,
            name="platform away 1 h, four hosts",
            make_requests=make_four_host_arrivals,
        ),
        evolve(
            hour,
            name="platform away 1 h, a slot's and the counter's holder dead for half",
            killed_hosts=(
                *_list_slot_holders(slow[0], slots=1),
                find_counter_holder(make_roster(HOSTS, version=1), slow[0].name),
            ),
            kill_at_s=HOUR_S / 2,
        ),
        evolve(even, name="one-way cut of two domains", has_link_cut=True),
    ]


def measure(plan: Plan, scheme: Scheme, seed: int) -> Result:
    """Run one scenario under one scheme."""
    requests = sorted(
        plan.make_requests(Random(seed), plan), key=lambda request: request.arrived_at_s
    )
    _mark_ideal_admissions(plan, requests)
    roster = make_roster(plan.hosts, version=1)
    world = World(plan=plan, rng=Random(seed + 1), roster=roster)
    whole_after_s = run_scheme(scheme, world, requests)
    counted = [
        request
        for request in requests
        if plan.counted_organisations is None
        or request.organisation in plan.counted_organisations
    ]
    ideal = [request for request in counted if request.is_ideally_admitted]
    admitted = [request for request in counted if request.admitted_at_s is not None]
    wrong = sum(request.admitted_at_s is None for request in ideal)
    waits_s = sorted(
        request.admitted_at_s + request.reply_delay_s - request.arrived_at_s
        for request in admitted
        if request.admitted_at_s is not None
    )
    return Result(
        scenario=plan.name,
        scheme=type(scheme).__name__,
        requests=len(counted),
        ideal=len(ideal),
        wrongly_refused=wrong / len(ideal),
        shortfall=max(0.0, 1.0 - len(admitted) / len(ideal)),
        excess=sum(_count_excess(rule, requests) for rule in plan.rules),
        wait_p99_s=waits_s[int(0.99 * len(waits_s))] if waits_s else 0.0,
        full_limit_after_s=whole_after_s,
    )


def main() -> None:
    """Print the table of all scenarios and schemes."""
    arguments = cappa.parse(Arguments)
    print(f"| {' | '.join(COLUMNS)} |")
    print("|---" * len(COLUMNS) + "|")
    plans = make_plans(arguments.load, arguments.burst)
    for plan in [plan for plan in plans if (arguments.only or "") in plan.name]:
        for scheme in SCHEMES:
            print(_format_row(measure(plan, scheme, arguments.seed)), flush=True)


def _mark_ideal_admissions(plan: Plan, requests: list[Request]) -> None:
    buckets = {
        rule.name: Bucket(
            rate_per_s=rule.rate_per_s, burst=rule.burst, level=rule.burst
        )
        for rule in plan.rules
    }
    for request in requests:
        request.is_ideally_admitted = buckets[request.organisation].take(
            request.arrived_at_s
        )


def _count_excess(rule: OrganisationRule, requests: list[Request]) -> int:
    times_s = [
        request.admitted_at_s
        for request in requests
        if request.organisation == rule.name and request.admitted_at_s is not None
    ]
    return count_excess(rule, times_s)


def _list_slot_holders(rule: OrganisationRule, *, slots: int) -> tuple[int, ...]:
    holders = slot_holders(make_roster(HOSTS, version=1), rule.name)
    return tuple(_get_host_index(host.host_id) for host in holders[:slots])


def _get_host_index(host_id: str) -> int:
    return int(host_id.removeprefix("host-"))


def _format_row(result: Result) -> str:
    whole = result.full_limit_after_s
    cells = [
        result.scenario,
        result.scheme,
        str(result.requests),
        str(result.ideal),
        f"{result.wrongly_refused:.3%}",
        f"{result.shortfall:.3%}",
        str(result.excess),
        f"{result.wait_p99_s * 1000:.1f}",
        "" if whole is None else f"{whole:.1f}",
    ]
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    main()
