"""Play outages of a service, in virtual time, with views that arrive late."""

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable
from math import pi, sin
from random import Random

import pytest
from attrs import define, field

from snipespring.decisions.overload import (
    add_demand,
    count_demand,
    count_first,
    count_retry,
    subtract_demand,
    sum_demand,
)
from snipespring.decisions.retries import (
    BudgetExhausted,
    FleetBudget,
    earn_retry,
    make_fleet_budget,
    renew_phase,
    spend_fleet_retry,
    spend_retry,
)
from snipespring.records import (
    DemandCounts,
    DemandLog,
    RetryBound,
    RetryBudget,
    ServiceDemand,
    ServiceName,
)

SERVICE = ServiceName("ledger")
BOUND = RetryBound(share=0.2, slack=160.0, window_s=10.0)
HOSTS = 89
STEP_S = 0.05
ROUND_S = 0.25
LOCAL_FRACTION = 0.8


@define(kw_only=True, eq=False)
class Host:
    """Hold the counts and the budget of one host; it hears nothing while `is_deaf`."""

    is_deaf: bool = False
    log: DemandLog = field(factory=DemandLog)
    budget: RetryBudget = field(factory=RetryBudget)

    def count(self, counts: DemandCounts, now_s: float) -> None:
        self.log = add_demand(self.log, SERVICE, counts, window_s=10.0, now_s=now_s)

    def demand(self, now_s: float) -> tuple[ServiceDemand, ...]:
        return count_demand(self.log, window_s=10.0, now_s=now_s)


@define(kw_only=True, eq=False)
class Fleet:
    """Send requests of which servers refuse a share; record when each arrived."""

    rate_per_s: Callable[[float], float]
    refused: Callable[[float], float]
    lag_s: float
    deaf_hosts: int = 0
    uses_view: bool = True
    rng: Random = field(factory=lambda: Random(3))
    hosts: list[Host] = field(init=False)
    firsts: list[float] = field(factory=list)
    retries: list[float] = field(factory=list)
    served: Counter[int] = field(factory=Counter)
    _rounds: list[list[tuple[ServiceDemand, ...]]] = field(factory=list)

    def run(self, duration_s: float) -> None:
        self.hosts = [Host(is_deaf=n < self.deaf_hosts) for n in range(HOSTS)]
        for step in range(int(duration_s / STEP_S)):
            now_s = step * STEP_S
            if step % int(ROUND_S / STEP_S) == 0:
                self._rounds.append([host.demand(now_s) for host in self.hosts])
            expected = self.rate_per_s(now_s) * STEP_S
            for _ in range(int(expected + self.rng.random())):
                self._arrive(now_s)

    def _arrive(self, now_s: float) -> None:
        urgency = self.rng.choice((0, 1, 2))
        number = self.rng.randrange(HOSTS)
        host = self.hosts[number]
        host.count(count_first(urgency), now_s)
        host.budget = earn_retry(
            host.budget,
            LOCAL_FRACTION * BOUND.share,
            max_balance=LOCAL_FRACTION * BOUND.slack / HOSTS,
            now_s=now_s,
        )
        self.firsts.append(now_s)
        for _ in range(2):
            if self.rng.random() >= self.refused(now_s):
                self.served[urgency] += 1
                return
            spent = self._spend(number, urgency, now_s)
            is_sent = isinstance(spent, RetryBudget)
            host.count(count_retry(urgency, is_sent=is_sent), now_s)
            match spent:
                case RetryBudget():
                    host.budget = spent
                    self.retries.append(now_s)
                case BudgetExhausted():
                    return

    def _spend(
        self, number: int, urgency: int, now_s: float
    ) -> RetryBudget | BudgetExhausted:
        host = self.hosts[number]
        index = int((now_s - self.lag_s * self.rng.uniform(0.7, 1.0)) / ROUND_S)
        if host.is_deaf or not self.uses_view or index < 0:
            return spend_retry(host.budget, now_s)
        reported = self._rounds[index]
        heard = [
            part for part, h in zip(reported, self.hosts, strict=True) if not h.is_deaf
        ]
        others = subtract_demand(sum_demand(heard), reported[number])
        known = (others[SERVICE],) if SERVICE in others else ()
        (demand,) = sum_demand([known, host.demand(now_s)])
        fleet = make_fleet_budget(
            BOUND,
            demand,
            urgency=urgency,
            heard_hosts=HOSTS - self.deaf_hosts,
            known_hosts=HOSTS,
        )
        host.budget = renew_phase(host.budget, phase=self.rng.random(), now_s=now_s)
        return spend_fleet_retry(host.budget, fleet, now_s=now_s)

    def use_by_window(self) -> list[float]:
        """Return the part of the bound that is used, by window of ten seconds."""

        def count(times: list[float], end_s: float) -> int:
            return bisect_right(times, end_s) - bisect_right(times, end_s - 10.0)

        ends_s = [step * STEP_S for step in range(int(self.firsts[-1] / STEP_S))]
        return [
            count(self.retries, end_s)
            / (
                BOUND.share
                * max(count(self.firsts, end_s - back_s) for back_s in (0.0, 5.0, 10.0))
                + BOUND.slack
            )
            for end_s in ends_s
        ]


def wave(now_s: float) -> float:
    return 370.0 * (1.0 + 0.55 * sin(2.0 * pi * now_s / 13.0))


def rise(now_s: float) -> float:
    return 80.0 + 30.0 * now_s


def fall(now_s: float) -> float:
    return 800.0 - 30.0 * now_s


@pytest.mark.parametrize("lag_s", [0.4, 1.1])
@pytest.mark.parametrize("deaf_hosts", [0, 44])
@pytest.mark.parametrize("rate", [wave, rise, fall])
def test_the_fleet_stays_within_the_bound_with_old_views(
    rate: Callable[[float], float], deaf_hosts: int, lag_s: float
) -> None:
    """Guard against hosts that together spend what each of them sees as unused."""
    fleet = Fleet(
        rate_per_s=rate,
        refused=lambda now_s: 0.55 if now_s > 12.0 else 0.0,
        lag_s=lag_s,
        deaf_hosts=deaf_hosts,
    )
    fleet.run(25.0)
    assert max(fleet.use_by_window()) <= 1.0


def test_an_outage_uses_nearly_the_whole_bound_for_the_most_urgent() -> None:
    """Guard against refusals for an empty budget while other hosts leave theirs."""
    played = {}
    for uses_view in (True, False):
        fleet = Fleet(
            rate_per_s=wave,
            refused=lambda now_s: 0.55 if 12.0 < now_s < 20.5 else 0.0,
            lag_s=0.6,
            uses_view=uses_view,
        )
        fleet.run(21.0)
        played[uses_view] = fleet
    assert max(played[True].use_by_window()) >= 0.8
    assert len(played[True].retries) > 1.2 * len(played[False].retries)
    assert played[True].served[0] > 1.03 * played[False].served[0]
    assert played[True].served[0] > played[True].served[2]


def test_refused_retries_do_not_raise_the_share_of_a_host() -> None:
    """Guard against hosts that draw their part of a retry anew after each refusal."""
    fleet = FleetBudget(allowed=40.0, sent=0, reserved=0.0, hosts=200)
    rng, sent = Random(5), 0
    for _ in range(fleet.hosts):
        budget = RetryBudget()
        for attempt in range(10):
            now_s = 100.0 + 0.1 * attempt
            budget = renew_phase(budget, phase=rng.random(), now_s=now_s)
            match spend_fleet_retry(budget, fleet, now_s=now_s):
                case RetryBudget() as budget:
                    sent += 1
                case BudgetExhausted():
                    pass
    assert sent <= 1.4 * fleet.allowed
