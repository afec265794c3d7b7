"""Stand in for the platform's object API and host list."""

from .server import PlatformApplication

__all__ = ["PlatformApplication"]
