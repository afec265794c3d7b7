"""Stand in for a backend server with slots, load and gray failures."""

from .records import BackendSettings
from .server import BackendApplication

__all__ = ["BackendApplication", "BackendSettings"]
