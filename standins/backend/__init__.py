"""Simulate a backend server with slots, load reports and gray failures."""

from .records import BackendSettings
from .server import BackendApplication

__all__ = ["BackendApplication", "BackendSettings"]
