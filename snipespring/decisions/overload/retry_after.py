"""Spread the times at which refused callers come back.

The load is that of many requests refused within a short time, whose callers would
otherwise return together and be refused again.
"""

from random import Random

__all__ = ["spread_retry_after"]

# Factors on the time after which there will be room. Few callers come back too early.
MIN_FACTOR = 0.8
MAX_FACTOR = 1.8


def spread_retry_after(room_in_s: float, *, rng: Random) -> float:
    """Return a random time in seconds around that at which there will be room."""
    return room_in_s * rng.uniform(MIN_FACTOR, MAX_FACTOR)
