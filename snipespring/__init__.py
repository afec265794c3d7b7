"""Forward requests to backend servers with partial failures."""

from .exception import SnipespringError

__all__ = ["SnipespringError", "__version__"]

__version__ = "0.1.0"
