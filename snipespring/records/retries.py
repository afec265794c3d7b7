"""Retry budgets of services."""

from attrs import frozen
from immutables import Map

from .identity import ServiceName

__all__ = ["RetryBudget", "RetryBudgets"]


@frozen(kw_only=True)
class RetryBudget:
    """The retries allowed at a local monotonic time, from which on they decay."""

    allowed: float = 1.0
    at_s: float = 0.0


@frozen(kw_only=True)
class RetryBudgets:
    """The budgets of all services."""

    by_service: Map[ServiceName, RetryBudget] = Map()
