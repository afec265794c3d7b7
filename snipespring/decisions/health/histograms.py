"""Count durations in logarithmic buckets."""

from math import floor, log

from attrs import evolve

from ...records import Histogram

__all__ = [
    "add_duration",
    "bucket_of",
    "bucket_start_s",
    "count_at_least",
    "total_count",
]

FIRST_BUCKET_S = 0.001
BUCKET_RATIO = 1.25
LAST_BUCKET = 55


def bucket_of(duration_s: float) -> int:
    """Return the bucket of a duration in seconds."""
    if duration_s <= FIRST_BUCKET_S:
        return 0
    steps = log(duration_s / FIRST_BUCKET_S) / log(BUCKET_RATIO)
    return min(LAST_BUCKET, floor(steps + 1e-9))


def bucket_start_s(bucket: int) -> float:
    """Return the shortest duration of a bucket in seconds."""
    return float(FIRST_BUCKET_S * BUCKET_RATIO**bucket)


def add_duration(hist: Histogram, duration_s: float) -> Histogram:
    """Return the histogram with one more duration."""
    bucket = bucket_of(duration_s)
    if not hist.counts:
        return Histogram(first=bucket, counts=(1,))
    before = (0,) * (hist.first - bucket)
    after = (0,) * (bucket - hist.first - len(hist.counts) + 1)
    counts = [*before, *hist.counts, *after]
    first = min(hist.first, bucket)
    counts[bucket - first] += 1
    return evolve(hist, first=first, counts=tuple(counts))


def count_at_least(hist: Histogram, bucket: int) -> int:
    """Return how many durations lie in a bucket or a longer one."""
    return sum(hist.counts[max(0, bucket - hist.first) :])


def total_count(hist: Histogram) -> int:
    """Return how many durations the histogram holds."""
    return sum(hist.counts)
