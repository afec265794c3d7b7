"""Decide which attempt may run a request that must run at most once.

For each idempotency key, one host (its owner) keeps a claim: the attempt that may
run, and how it ended.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
