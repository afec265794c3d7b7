"""Pay for retries from the budget of the fleet, or from that of this host."""

from collections.abc import Callable
from random import Random

from attrs import define, evolve

from ..blackboard import Board
from ..blackboard.regions import (
    FLEET_VIEW,
    HOST_FEED,
    RETRY_BUDGETS,
    ROSTER,
    SERVER_LOADS,
)
from ..decisions.queueing import name_of
from ..decisions.retries import (
    BudgetExhausted,
    FleetBudget,
    earn_retry,
    make_fleet_budget,
    max_balance_per_host,
    renew_phase,
    spend_fleet_retry,
    spend_retry,
)
from ..decisions.routing import answer_s_of, service_load_of
from ..records import AdmittedRequest, RetryBudget, RetryBudgets, ServiceRule
from ..utils import Clock
from .demand_recorder import DemandRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["RetryLimiter"]


@define(kw_only=True, eq=False)
class RetryLimiter:
    """Write the retry budgets on the callers' threads."""

    board: Board
    clock: Clock
    rng: Random
    metrics: MetricsRecorder
    demand: DemandRecorder

    def earn(self, service: ServiceRule, urgency: int) -> None:
        """Count a first attempt, which earns a part of a retry."""
        self.demand.record_first(service.name, urgency)
        now_s = self.clock.monotonic_s()
        max_balance = self._max_balance(service)

        def earn(budgets: RetryBudgets) -> RetryBudgets:
            budget = budgets.by_service.get(service.name, RetryBudget(at_s=now_s))
            budget = earn_retry(
                budget, service.retry_share, max_balance=max_balance, now_s=now_s
            )
            by_service = budgets.by_service.set(service.name, budget)
            return evolve(budgets, by_service=by_service)

        self.board.update(RETRY_BUDGETS, earn, writer=RETRY_BUDGETS.writer)

    def spend(
        self, service: ServiceRule, admitted: AdmittedRequest, urgency: int
    ) -> str | None:
        """Count a retry that is wanted; return why not to send it, if so."""
        fleet = self._read_fleet_budget(service, urgency)
        if fleet is None:
            is_sent = self._spend(service, spend_retry)
            rule, reason = "host", "this host's own retry budget is empty"
        elif fleet.is_short and not self._may_answer_in_time(admitted):
            is_sent, rule = False, "late"
            reason = f"{fleet}; an answer would probably come after the deadline"
        else:
            phase = self.rng.random()
            is_sent = self._spend(
                service,
                lambda budget, now_s: spend_fleet_retry(budget, fleet, now_s=now_s),
                prepare=lambda budget, now_s: renew_phase(
                    budget, phase=phase, now_s=now_s
                ),
            )
            rule, reason = "fleet", str(fleet)
        self.metrics.count(
            "retry_budget", f"{rule} {'spent' if is_sent else 'refused'}"
        )
        self.demand.record_retry(service.name, urgency, is_sent=is_sent)
        return None if is_sent else reason

    def _max_balance(self, service: ServiceRule) -> float:
        if service.retry_reserve is None:
            return max_balance_per_host(len(self.board.read(ROSTER).hosts))
        return service.retry_reserve / max(1, len(self.board.read(HOST_FEED).items))

    def _read_fleet_budget(
        self, service: ServiceRule, urgency: int
    ) -> FleetBudget | None:
        """Return the budget of all hosts, None without a fresh view of them."""
        demand = self.demand.read_fleet(service.name)
        if service.retry_bound is None or demand is None:
            return None
        return make_fleet_budget(
            service.retry_bound,
            demand,
            urgency=urgency,
            heard_hosts=self.board.read(FLEET_VIEW).heard_hosts,
            known_hosts=len(self.board.read(HOST_FEED).items),
        )

    def _may_answer_in_time(self, admitted: AdmittedRequest) -> bool:
        """Return whether an answer as slow as the mean meets the deadline."""
        load = service_load_of(self.board.read(SERVER_LOADS), admitted.route.service)
        answer_s = answer_s_of(load, name_of(admitted.route))
        return answer_s <= admitted.deadline_at_s - self.clock.monotonic_s()

    def _spend(
        self,
        service: ServiceRule,
        decide: Callable[[RetryBudget, float], RetryBudget | BudgetExhausted],
        *,
        prepare: Callable[[RetryBudget, float], RetryBudget] = lambda budget, _: budget,
    ) -> bool:
        """Spend a retry if `decide` allows it; keep what `prepare` changes anyway."""
        now_s = self.clock.monotonic_s()

        def spend(budgets: RetryBudgets) -> tuple[RetryBudgets, bool]:
            budget = budgets.by_service.get(service.name, RetryBudget(at_s=now_s))
            budget = prepare(budget, now_s)
            match decide(budget, now_s):
                case BudgetExhausted():
                    is_sent = False
                case RetryBudget() as remaining:
                    budget, is_sent = remaining, True
            by_service = budgets.by_service.set(service.name, budget)
            return evolve(budgets, by_service=by_service), is_sent

        return self.board.transact(RETRY_BUDGETS, spend, writer=RETRY_BUDGETS.writer)
