"""Stand in for the users' object store, by its published protocol."""

from .controller import StoreController
from .records import (
    DelayedWrites,
    LostAnswers,
    NoFault,
    RejectedCalls,
    SlowAnswers,
    StoreFault,
    StoreState,
    Unavailable,
    Unresponsive,
)
from .server import StoreApplication

__all__ = [
    "Unavailable",
    "RejectedCalls",
    "DelayedWrites",
    "LostAnswers",
    "Unresponsive",
    "SlowAnswers",
    "StoreApplication",
    "StoreController",
    "StoreFault",
    "StoreState",
    "NoFault",
]
