"""Divide each organisation's rate and burst among the hosts, and lend between them."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
