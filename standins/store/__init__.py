"""Simulate the users' object store as its published protocol describes it."""

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
    "DelayedWrites",
    "LostAnswers",
    "NoFault",
    "RejectedCalls",
    "SlowAnswers",
    "StoreApplication",
    "StoreController",
    "StoreFault",
    "StoreState",
    "Unavailable",
    "Unresponsive",
]
