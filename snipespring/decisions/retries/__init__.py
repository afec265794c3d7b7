"""Bound the retries that this host adds to the load of a service."""

from .budget import MAX_ALLOWED, NoBudget, earn_retry, spend_retry

__all__ = ["MAX_ALLOWED", "NoBudget", "earn_retry", "spend_retry"]
