"""Assemble a host process from the blackboard, controllers and front ends."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
