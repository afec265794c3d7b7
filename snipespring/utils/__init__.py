"""Provide clocks for decisions, and control of the process's memory."""

from .clock import Clock, ManualClock, SystemClock
from .memory import limit_retained_memory

__all__ = ["Clock", "ManualClock", "SystemClock", "limit_retained_memory"]
