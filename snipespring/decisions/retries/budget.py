"""Allow retries as a share of first attempts."""

from math import exp

from attrs import evolve, frozen

from ...records import RetryBudget

__all__ = ["BudgetExhausted", "earn_retry", "max_balance_per_host", "spend_retry"]

MAX_HOST_BALANCE = 3.0  # retries kept by a host for a service
MAX_FLEET_BALANCE = (
    132.0  # retries kept by all hosts for a service, if one a host is fewer
)
DECAY_S = 60.0


@frozen(kw_only=True)
class BudgetExhausted:
    """State that a retry would exceed the share."""


def max_balance_per_host(hosts: int) -> float:
    """Return the retries beyond the share that each of the hosts may cause."""
    return min(MAX_HOST_BALANCE, max(1.0, MAX_FLEET_BALANCE / max(1, hosts)))


def earn_retry(
    budget: RetryBudget, share: float, *, max_balance: float, now_s: float
) -> RetryBudget:
    """Return the budget after one first attempt, `max_balance` retries at most."""
    budget = _decay(budget, now_s)
    return evolve(budget, allowed=min(max_balance, budget.allowed + share))


def spend_retry(budget: RetryBudget, now_s: float) -> RetryBudget | BudgetExhausted:
    """Return the budget after one retry, or that none is allowed."""
    budget = _decay(budget, now_s)
    if budget.allowed < 1.0:
        return BudgetExhausted()
    return evolve(budget, allowed=budget.allowed - 1.0)


def _decay(budget: RetryBudget, now_s: float) -> RetryBudget:
    """Forget what was earned long ago; the first retry's worth stays."""
    age_s = max(0.0, now_s - budget.at_s)
    above = max(0.0, budget.allowed - 1.0) * exp(-age_s / DECAY_S)
    return RetryBudget(allowed=min(1.0, budget.allowed) + above, at_s=now_s)
