"""Stand in for the users' object store, by its published protocol."""

from .controller import StoreController
from .records import (
    Away,
    Busy,
    Delaying,
    Losing,
    Silent,
    Slow,
    StoreFaults,
    StoreState,
    Up,
)
from .server import StoreApplication

__all__ = [
    "Away",
    "Busy",
    "Delaying",
    "Losing",
    "Silent",
    "Slow",
    "StoreApplication",
    "StoreController",
    "StoreFaults",
    "StoreState",
    "Up",
]
