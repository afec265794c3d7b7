"""Limit the retries that this host and the fleet add to the load of a service."""

from .budget import BudgetExhausted, earn_retry, max_balance_per_host, spend_retry
from .fleet import FleetBudget, make_fleet_budget, spend_fleet_retry

__all__ = [
    "BudgetExhausted",
    "FleetBudget",
    "earn_retry",
    "make_fleet_budget",
    "max_balance_per_host",
    "spend_fleet_retry",
    "spend_retry",
]
