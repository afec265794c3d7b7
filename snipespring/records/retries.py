"""Hold how many retries each service may still cause."""

from attrs import frozen
from immutables import Map

from .identity import ServiceName

__all__ = ["RetryBudget", "RetryBudgets"]


@frozen(kw_only=True)
class RetryBudget:
    """Hold the retries allowed at a local monotonic time; they decay from then."""

    allowed: float = 1.0
    at_s: float = 0.0


@frozen(kw_only=True)
class RetryBudgets:
    """Hold the budget of each service."""

    by_service: Map[ServiceName, RetryBudget] = Map()
