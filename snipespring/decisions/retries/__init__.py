"""Limit the retries that this host adds to the load of a service."""

from .budget import BudgetExhausted, earn_retry, max_balance_per_host, spend_retry

__all__ = ["BudgetExhausted", "earn_retry", "max_balance_per_host", "spend_retry"]
