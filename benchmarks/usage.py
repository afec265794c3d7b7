"""Measure how well rate limits hold when hosts share counts of their usage.

Run with `python -m benchmarks.usage`.
"""

from bisect import bisect_left
from random import Random

from attrs import define, field, frozen
from immutables import Map

from snipespring.decisions.domains import (
    RateTolerance,
    admit_request,
    count_usage,
    prune_usage,
    record_admission,
    record_request,
)
from snipespring.records import (
    Admitted,
    FleetView,
    OrganisationName,
    OrganisationRule,
    OrganisationUsage,
    UsageLog,
)

__all__ = ["main"]

ORGANISATION = OrganisationName("measured")
TOLERANCE = RateTolerance(window_s=5.0, overshoot=0.1, slack=20.0)
HOSTS = 32
DOMAINS = 3
SEEDS = 4
STEP_S = 0.005
REPORT_INTERVAL_S = 0.25
DURATION_S = 20.0
SURGE_AT_S = 8.0
# Admissions are compared with those of a token bucket from this time on.
COMPARED_FROM_S = 4.0
# The demand before a surge, as a multiple of the organisation's rate.
BASELINE_FACTOR = 0.62
RATES_PER_S = (8.0, 40.0)
STEADY_FACTORS = (0.62, 1.0, 1.7)
SURGE_FACTORS = (4.7, 7.0, 12.0)


@frozen(kw_only=True)
class Case:
    """Describe a demand as a multiple of the rate.

    It applies from the start, or from `SURGE_AT_S` for a surge.
    """

    rate_per_s: float
    factor: float
    is_surge: bool

    def demand_per_s(self, now_s: float) -> float:
        """Return the requests per second at the given time."""
        is_before_surge = self.is_surge and now_s < SURGE_AT_S
        return self.rate_per_s * (BASELINE_FACTOR if is_before_surge else self.factor)


@frozen(kw_only=True)
class Result:
    """Describe the admissions relative to what the limit allows.

    `worst_window_ratio` compares the window with most admissions with the tolerated
    maximum, `admitted_ratio` all compared admissions with those of a token bucket.
    """

    worst_window_ratio: float
    admitted_ratio: float


@define(kw_only=True, eq=False)
class SimulatedFleet:
    """Simulate hosts of several domains that share their usage counts with delay."""

    rule: OrganisationRule
    rng: Random
    logs: list[UsageLog] = field(init=False)
    reports: list[OrganisationUsage] = field(init=False)
    summaries: list[OrganisationUsage] = field(init=False)
    views: list[FleetView] = field(init=False)
    next_report_at_s: list[float] = field(init=False)
    admitted_at_s: list[float] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Start all hosts without usage."""
        no_usage = OrganisationUsage(organisation=ORGANISATION)
        self.logs = [UsageLog()] * HOSTS
        self.reports = [no_usage] * HOSTS
        self.summaries = [no_usage] * DOMAINS
        self.views = [FleetView(heard_hosts=HOSTS, as_of_s=0.0)] * HOSTS
        self.next_report_at_s = [
            self.rng.uniform(0.0, REPORT_INTERVAL_S) for _ in range(HOSTS)
        ]

    def report(self, host: int, now_s: float) -> None:
        """Report the usage of a host and update its view from the hub of its domain."""
        self.next_report_at_s[host] += REPORT_INTERVAL_S
        usages = count_usage(self.logs[host], window_s=TOLERANCE.window_s, now_s=now_s)
        self.reports[host] = usages[0] if usages else _sum_usages([])
        domain = host % DOMAINS
        local = [self.reports[index] for index in range(domain, HOSTS, DOMAINS)]
        if host == domain:
            self.summaries[domain] = _sum_usages(local)
        remote = [self.summaries[index] for index in range(DOMAINS) if index != domain]
        total, own_usage = _sum_usages([*local, *remote]), self.reports[host]
        others = OrganisationUsage(
            organisation=ORGANISATION,
            admitted=total.admitted - own_usage.admitted,
            received=total.received - own_usage.received,
        )
        self.views[host] = FleetView(
            heard_hosts=HOSTS, usage=Map({ORGANISATION: others}), as_of_s=now_s
        )

    def send_request(self, now_s: float) -> bool:
        """Send a request to a random host; return whether it is admitted."""
        host = self.rng.randrange(HOSTS)
        log = prune_usage(self.logs[host], window_s=TOLERANCE.window_s, now_s=now_s)
        log = record_request(log, ORGANISATION, now_s)
        admission = admit_request(
            self.rule,
            TOLERANCE,
            log.by_organisation[ORGANISATION],
            self.views[host],
            known_hosts=HOSTS,
            now_s=now_s,
            rng=self.rng,
        )
        match admission:
            case Admitted():
                log = record_admission(log, ORGANISATION, now_s)
                self.admitted_at_s.append(now_s)
            case _:
                pass
        self.logs[host] = log
        return isinstance(admission, Admitted)


def run_case(case: Case, seed: int) -> Result:
    """Simulate one case and compare it with an exact token bucket of the same rule."""
    rate_per_s = case.rate_per_s
    rule = OrganisationRule(
        name=ORGANISATION,
        rate_per_s=rate_per_s,
        burst=rate_per_s,
        asked_by="a benchmark",
    )
    fleet = SimulatedFleet(rule=rule, rng=Random(seed))
    tokens, refilled_at_s, allowed, admitted = rule.burst, 0.0, 0, 0
    for step in range(int(DURATION_S / STEP_S)):
        now_s = step * STEP_S
        for host in range(HOSTS):
            if now_s >= fleet.next_report_at_s[host]:
                fleet.report(host, now_s)
        if fleet.rng.random() >= case.demand_per_s(now_s) * STEP_S:
            continue
        tokens = min(rule.burst, tokens + (now_s - refilled_at_s) * rate_per_s)
        refilled_at_s = now_s
        is_allowed, is_admitted = tokens >= 1.0, fleet.send_request(now_s)
        tokens -= is_allowed
        if now_s >= COMPARED_FROM_S:
            allowed, admitted = allowed + is_allowed, admitted + is_admitted
    return Result(
        worst_window_ratio=_count_worst_window(fleet.admitted_at_s)
        / _max_window_admissions(rule),
        admitted_ratio=admitted / max(1, allowed),
    )


def main() -> None:
    """Print the worst result of several seeds for each case."""
    print("rate/s  demand        worst window  admitted, of what a bucket admits")
    for rate_per_s in RATES_PER_S:
        for factors, is_surge in ((STEADY_FACTORS, False), (SURGE_FACTORS, True)):
            for factor in factors:
                case = Case(rate_per_s=rate_per_s, factor=factor, is_surge=is_surge)
                _print_worst(case)


def _print_worst(case: Case) -> None:
    results = [run_case(case, seed) for seed in range(SEEDS)]
    window = max(result.worst_window_ratio for result in results)
    admitted = min(result.admitted_ratio for result in results)
    kind = "at once" if case.is_surge else "steady "
    print(
        f"{case.rate_per_s:6g}  {case.factor:4g} {kind}  {window:12.3f}  {admitted:.3f}"
    )


def _sum_usages(usages: list[OrganisationUsage]) -> OrganisationUsage:
    return OrganisationUsage(
        organisation=ORGANISATION,
        admitted=sum(usage.admitted for usage in usages),
        received=sum(usage.received for usage in usages),
    )


def _count_worst_window(admitted_at_s: list[float]) -> int:
    counts = (
        bisect_left(admitted_at_s, start_s + TOLERANCE.window_s) - first
        for first, start_s in enumerate(admitted_at_s)
    )
    return max(counts, default=0)


def _max_window_admissions(rule: OrganisationRule) -> float:
    max_admissions = rule.rate_per_s * TOLERANCE.window_s + rule.burst
    return max_admissions * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack


if __name__ == "__main__":
    main()
