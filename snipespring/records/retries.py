"""Define the retry budgets of services."""

from attrs import frozen
from immutables import Map

from .identity import ServiceName

__all__ = ["RetryBudget", "RetryBudgets"]


@frozen(kw_only=True)
class RetryBudget:
    """Count the retries allowed at a local monotonic time.

    From `at_s` on, what `allowed` exceeds 1 by decays with time.
    """

    allowed: float = 1.0
    at_s: float = 0.0


@frozen(kw_only=True)
class RetryBudgets:
    """Map each service to its retry budget."""

    by_service: Map[ServiceName, RetryBudget] = Map()
