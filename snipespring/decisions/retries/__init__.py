"""Bound the retries that this host adds to the load of a service."""

from .budget import NoBudget, earn_retry, most_allowed, spend_retry

__all__ = ["NoBudget", "earn_retry", "most_allowed", "spend_retry"]
