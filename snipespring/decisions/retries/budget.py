"""Allow retries as a share of first attempts."""

from math import exp

from attrs import evolve, frozen

from ...records import RetryBudget

__all__ = ["MAX_ALLOWED", "NoBudget", "earn_retry", "spend_retry"]

MAX_ALLOWED = 3.0  # retries beyond the share, a host and service, in any window
DECAY_S = 60.0


@frozen(kw_only=True)
class NoBudget:
    """State that a retry would exceed the share."""


def earn_retry(budget: RetryBudget, share: float, now_s: float) -> RetryBudget:
    """Return the budget after one first attempt."""
    budget = _decay(budget, now_s)
    return evolve(budget, allowed=min(MAX_ALLOWED, budget.allowed + share))


def spend_retry(budget: RetryBudget, now_s: float) -> RetryBudget | NoBudget:
    """Return the budget after one retry, or that none is allowed."""
    budget = _decay(budget, now_s)
    if budget.allowed < 1.0:
        return NoBudget()
    return evolve(budget, allowed=budget.allowed - 1.0)


def _decay(budget: RetryBudget, now_s: float) -> RetryBudget:
    """Forget what was earned long ago; the first retry's worth stays."""
    age_s = max(0.0, now_s - budget.at_s)
    above = max(0.0, budget.allowed - 1.0) * exp(-age_s / DECAY_S)
    return RetryBudget(allowed=min(1.0, budget.allowed) + above, at_s=now_s)
