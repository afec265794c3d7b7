"""Give the values of options that a rule line leaves out."""

from ...records import RunIdempotent, RunOnce, RunPolicy

__all__ = ["default_burst", "default_run_policy"]

BURST_MIN = 1.0
BURST_DURATION_S = 1.0
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


def default_burst(rate_per_s: float) -> float:
    """Return one second of a rate, at least one request."""
    return max(BURST_MIN, rate_per_s * BURST_DURATION_S)


def default_run_policy(methods: tuple[str, ...]) -> RunPolicy:
    """Let requests repeat only where HTTP defines every method as idempotent."""
    if IDEMPOTENT_METHODS.issuperset(methods):
        return RunIdempotent()
    return RunOnce()
