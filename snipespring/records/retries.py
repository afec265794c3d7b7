"""Define the retry budgets of services."""

from math import inf

from attrs import frozen
from immutables import Map

from .identity import ServiceName

__all__ = ["RetryBudget", "RetryBudgets"]


@frozen(kw_only=True)
class RetryBudget:
    """Count the retries allowed at a local monotonic time.

    From `at_s` on, what `allowed` exceeds 1 by decays with time. `spent_s` lists the
    times of this host's latest retries from the fleet's budget, and `phase`, drawn at
    `phase_at_s`, decides whether the host gets a retry of a share below one.
    """

    allowed: float = 1.0
    at_s: float = 0.0
    spent_s: tuple[float, ...] = ()
    phase: float = 0.0
    phase_at_s: float = -inf


@frozen(kw_only=True)
class RetryBudgets:
    """Map each service to its retry budget."""

    by_service: Map[ServiceName, RetryBudget] = Map()
