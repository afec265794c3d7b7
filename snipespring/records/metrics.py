"""Define the counters of one process."""

from attrs import frozen
from immutables import Map

__all__ = ["Counters", "LatencyBuckets", "LATENCY_BOUNDS_S"]

LATENCY_BOUNDS_S = (0.001, 0.002, 0.0033, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1.0, 5.0)


@frozen(kw_only=True)
class LatencyBuckets:
    """Count observations by upper bound in seconds; the last bucket has none."""

    counts: tuple[int, ...] = (0,) * (len(LATENCY_BOUNDS_S) + 1)
    sum_s: float = 0.0


@frozen(kw_only=True)
class Counters:
    """Map each counter name and label value to its total.

    `added` is the latency that this host added to requests.
    """

    totals: Map[tuple[str, str], int] = Map()
    added: LatencyBuckets = LatencyBuckets()
