"""Collect all regions of the blackboard; each names the controller that writes it.

Operators see the names of regions in dumps of the blackboard and those of writers in
error messages, so both stay the same if a class is renamed.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
