"""Limit retries to a share of first attempts."""

from math import exp

from attrs import evolve, frozen

from ...records import RetryBudget

__all__ = ["BudgetExhausted", "earn_retry", "max_balance_per_host", "spend_retry"]

MAX_HOST_BALANCE = 3.0  # saved retries per host and service
# Saved retries per service on all hosts together; each host may save one in any case.
MAX_FLEET_BALANCE = 132.0
DECAY_S = 60.0  # time constant of the exponential decay


@frozen(kw_only=True)
class BudgetExhausted:
    """Refuse a retry that would exceed the share of first attempts."""


def max_balance_per_host(hosts: int) -> float:
    """Return the retries that each host may save and so cause beyond the share."""
    return min(MAX_HOST_BALANCE, max(1.0, MAX_FLEET_BALANCE / max(1, hosts)))


def earn_retry(
    budget: RetryBudget, share: float, *, max_balance: float, now_s: float
) -> RetryBudget:
    """Return the budget after a first attempt, which earns `share` of a retry.

    At most `max_balance` retries are saved.
    """
    budget = _decay(budget, now_s)
    return evolve(budget, allowed=min(max_balance, budget.allowed + share))


def spend_retry(budget: RetryBudget, now_s: float) -> RetryBudget | BudgetExhausted:
    """Return the budget after one retry, or BudgetExhausted if none is allowed."""
    budget = _decay(budget, now_s)
    if budget.allowed < 1.0:
        return BudgetExhausted()
    return evolve(budget, allowed=budget.allowed - 1.0)


def _decay(budget: RetryBudget, now_s: float) -> RetryBudget:
    """Decay exponentially what exceeds one saved retry; keep the rest."""
    age_s = max(0.0, now_s - budget.at_s)
    decayed = max(0.0, budget.allowed - 1.0) * exp(-age_s / DECAY_S)
    allowed = min(1.0, budget.allowed) + decayed
    return evolve(budget, allowed=allowed, at_s=now_s)
