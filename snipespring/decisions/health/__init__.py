"""Detect unhealthy backend servers by the outcomes of real requests."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
