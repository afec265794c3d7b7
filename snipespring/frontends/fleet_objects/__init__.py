"""Encode the objects that the fleet stores in the platform's store."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
