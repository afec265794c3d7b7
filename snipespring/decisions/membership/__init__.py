"""Decide membership of the fleet: rosters, leases, fences, statuses and silence."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
