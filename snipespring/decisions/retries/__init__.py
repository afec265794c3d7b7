"""Limit the retries that this host adds to the load of a service."""

from .budget import BudgetExhausted, earn_retry, max_balance_per_host, spend_retry
from .hedging import hedge_delay_s, overdue_delay_s

__all__ = [
    "BudgetExhausted",
    "earn_retry",
    "hedge_delay_s",
    "max_balance_per_host",
    "overdue_delay_s",
    "spend_retry",
]
