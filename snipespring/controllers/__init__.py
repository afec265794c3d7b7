"""Read blackboard regions, call decision functions and write regions.

Each region declares the one writer that may write it.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
