"""Provide the clocks that decisions take as arguments."""

from .clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
