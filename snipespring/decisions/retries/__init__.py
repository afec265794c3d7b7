"""Limit the retries that this host and the fleet add to the load of a service."""

from .budget import BudgetExhausted, earn_retry, max_balance_per_host, spend_retry
from .fleet import FleetBudget, make_fleet_budget, renew_phase, spend_fleet_retry
from .hedging import hedge_delay_s

__all__ = [
    "BudgetExhausted",
    "FleetBudget",
    "earn_retry",
    "hedge_delay_s",
    "make_fleet_budget",
    "max_balance_per_host",
    "renew_phase",
    "spend_fleet_retry",
    "spend_retry",
]
