"""Read the system's time, or a time that a test sets."""

import time
from typing import Protocol

from attrs import define

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Read monotonic and wall clock time in seconds."""

    def monotonic_s(self) -> float:
        """Return seconds that never decrease within one process."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Read the clocks of this host."""

    def monotonic_s(self) -> float:
        """Return seconds since the host booted, including time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


@define(kw_only=True)
class ManualClock:
    """Provide a time that moves only when `advance` is called, for tests."""

    now_s: float = 1000.0

    def monotonic_s(self) -> float:
        """Return the clock's time in seconds."""
        return self.now_s

    def wall_s(self) -> float:
        """Return the clock's time in seconds."""
        return self.now_s

    def advance(self, delta_s: float) -> None:
        """Move the time forward by `delta_s` seconds."""
        self.now_s += delta_s
