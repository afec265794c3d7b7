"""Provide the clock and the random source that decisions take as arguments."""

from .clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
