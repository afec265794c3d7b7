"""Forward requests to backend servers that fail in half-broken ways."""

from .exception import SnipespringError

__all__ = ["SnipespringError", "__version__"]

__version__ = "0.1.0"
