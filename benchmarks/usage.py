"""Measure limits by shared counts: `python -m benchmarks.usage`."""

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

NAME = OrganisationName("measured")
TOLERANCE = RateTolerance(window_s=5.0, overshoot=0.1, slack=20.0)
HOSTS = 32
DOMAINS = 3
SEEDS = 4
STEP_S = 0.005
REPORT_INTERVAL_S = 0.25
DURATION_S = 20.0
SURGE_AT_S = 8.0
COMPARED_FROM_S = 4.0  # from which admissions are compared with the bucket's
BASELINE_FACTOR = 0.62  # of its rate, that an organisation sends before a surge
RATES_PER_S = (8.0, 40.0)
STEADY_FACTORS = (0.62, 1.0, 1.7)
SURGE_FACTORS = (4.7, 7.0, 12.0)


@frozen(kw_only=True)
class Case:
    """Name a demand as a multiple of the rate, from the start or from the onset."""

    rate_per_s: float
    factor: float
    is_surge: bool

    def demand_per_s(self, now_s: float) -> float:
        """Return the requests a second at a time."""
        calm = self.is_surge and now_s < SURGE_AT_S
        return self.rate_per_s * (BASELINE_FACTOR if calm else self.factor)


@frozen(kw_only=True)
class Result:
    """Hold the worst window and the admissions, each against what is allowed."""

    worst_window_ratio: float
    admitted: float


@define(kw_only=True, eq=False)
class SimulatedFleet:
    """Hold hosts of several domains whose views are late as on the platform."""

    rule: OrganisationRule
    rng: Random
    logs: list[UsageLog] = field(init=False)
    reports: list[OrganisationUsage] = field(init=False)
    summaries: list[OrganisationUsage] = field(init=False)
    views: list[FleetView] = field(init=False)
    next_report_at_s: list[float] = field(init=False)
    taken: list[float] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Start every host with nothing known."""
        nothing = OrganisationUsage(organisation=NAME)
        self.logs = [UsageLog()] * HOSTS
        self.reports = [nothing] * HOSTS
        self.summaries = [nothing] * DOMAINS
        self.views = [FleetView(heard_hosts=HOSTS, as_of_s=0.0)] * HOSTS
        self.next_report_at_s = [
            self.rng.uniform(0.0, REPORT_INTERVAL_S) for _ in range(HOSTS)
        ]

    def report(self, host: int, now_s: float) -> None:
        """Let a host report and see what its domain's hub knows."""
        self.next_report_at_s[host] += REPORT_INTERVAL_S
        counted = count_usage(self.logs[host], window_s=TOLERANCE.window_s, now_s=now_s)
        self.reports[host] = counted[0] if counted else _sum_usages([])
        domain = host % DOMAINS
        near = [self.reports[one] for one in range(domain, HOSTS, DOMAINS)]
        if host == domain:
            self.summaries[domain] = _sum_usages(near)
        far = [self.summaries[one] for one in range(DOMAINS) if one != domain]
        total, own = _sum_usages([*near, *far]), self.reports[host]
        others = OrganisationUsage(
            organisation=NAME,
            admitted=total.admitted - own.admitted,
            received=total.received - own.received,
        )
        self.views[host] = FleetView(
            heard_hosts=HOSTS, usage=Map({NAME: others}), as_of_s=now_s
        )

    def send_request(self, now_s: float) -> bool:
        """Send a request to any host; return whether it is admitted."""
        host = self.rng.randrange(HOSTS)
        log = prune_usage(self.logs[host], window_s=TOLERANCE.window_s, now_s=now_s)
        log = record_request(log, NAME, now_s)
        admission = admit_request(
            self.rule,
            TOLERANCE,
            log.by_organisation[NAME],
            self.views[host],
            known_hosts=HOSTS,
            now_s=now_s,
            rng=self.rng,
        )
        match admission:
            case Admitted():
                log = record_admission(log, NAME, now_s)
                self.taken.append(now_s)
            case _:
                pass
        self.logs[host] = log
        return isinstance(admission, Admitted)


def run_case(case: Case, seed: int) -> Result:
    """Play one case; the bucket that is compared with admits what the rule states."""
    rate_per_s = case.rate_per_s
    rule = OrganisationRule(
        name=NAME, rate_per_s=rate_per_s, burst=rate_per_s, asked_by="a benchmark"
    )
    world = SimulatedFleet(rule=rule, rng=Random(seed))
    tokens, filled_s, owed, got = rule.burst, 0.0, 0, 0
    for step in range(int(DURATION_S / STEP_S)):
        now_s = step * STEP_S
        for host in range(HOSTS):
            if now_s >= world.next_report_at_s[host]:
                world.report(host, now_s)
        if world.rng.random() >= case.demand_per_s(now_s) * STEP_S:
            continue
        tokens = min(rule.burst, tokens + (now_s - filled_s) * rate_per_s)
        filled_s = now_s
        is_owed, is_admitted = tokens >= 1.0, world.send_request(now_s)
        tokens -= is_owed
        if now_s >= COMPARED_FROM_S:
            owed, got = owed + is_owed, got + is_admitted
    return Result(
        worst_window_ratio=_count_worst_window(world.taken)
        / _max_window_admissions(rule),
        admitted=got / max(1, owed),
    )


def main() -> None:
    """Print the worst of several seeds for each case."""
    print("rate/s  demand        worst window  admitted, of what a bucket admits")
    for rate_per_s in RATES_PER_S:
        for factors, is_surge in ((STEADY_FACTORS, False), (SURGE_FACTORS, True)):
            for factor in factors:
                case = Case(rate_per_s=rate_per_s, factor=factor, is_surge=is_surge)
                _print_worst(case)


def _print_worst(case: Case) -> None:
    results = [run_case(case, seed) for seed in range(SEEDS)]
    window = max(result.worst_window_ratio for result in results)
    admitted = min(result.admitted for result in results)
    kind = "at once" if case.is_surge else "steady "
    print(
        f"{case.rate_per_s:6g}  {case.factor:4g} {kind}  {window:12.3f}  {admitted:.3f}"
    )


def _sum_usages(usages: list[OrganisationUsage]) -> OrganisationUsage:
    return OrganisationUsage(
        organisation=NAME,
        admitted=sum(one.admitted for one in usages),
        received=sum(one.received for one in usages),
    )


def _count_worst_window(admitted_at_s: list[float]) -> int:
    counts = (
        bisect_left(admitted_at_s, start_s + TOLERANCE.window_s) - at
        for at, start_s in enumerate(admitted_at_s)
    )
    return max(counts, default=0)


def _max_window_admissions(rule: OrganisationRule) -> float:
    stated = rule.rate_per_s * TOLERANCE.window_s + rule.burst
    return stated * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack


if __name__ == "__main__":
    main()
