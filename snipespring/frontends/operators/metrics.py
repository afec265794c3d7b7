"""Render the counters region in the Prometheus format."""

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from ...records import LATENCY_BOUNDS_S, Counters

__all__ = ["render_metrics"]


def render_metrics(counters: Counters, accepts: tuple[str, ...]) -> bytes:
    """Return the counters in the Prometheus text format."""
    registry = Registry()
    collectors: dict[str, Counter] = {}
    for (name, label), total in sorted(counters.totals.items()):
        collector = collectors.get(name)
        if collector is None:
            collector = Counter(f"snipespring_{name}_total", name, registry=registry)
            collectors[name] = collector
        collector.set({"kind": label}, total)
    _add_latency(registry, counters)
    content: bytes = render(registry, list(accepts))[0]
    return content


def _add_latency(registry: Registry, counters: Counters) -> None:
    bucket = Gauge(
        "snipespring_added_seconds_bucket",
        "Requests by seconds added, cumulative.",
        registry=registry,
    )
    total = 0
    bounds = [f"{bound_s:g}" for bound_s in LATENCY_BOUNDS_S] + ["+Inf"]
    for bound, count in zip(bounds, counters.added.counts, strict=True):
        total += count
        bucket.set({"le": bound}, total)
