"""Share usage, outcomes and liveness between hosts through hubs in each domain."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
