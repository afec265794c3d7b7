"""Decide by the demand of all hosts whom to refuse while a service has no room."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
