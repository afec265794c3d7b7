"""Define the defaults of options that a rule line omits."""

from ...records import RunIdempotent, RunOnce, RunPolicy

__all__ = ["default_burst", "default_run_policy"]

BURST_MIN = 1.0
BURST_DURATION_S = 1.0
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


def default_burst(rate_per_s: float) -> float:
    """Return how many requests a burst may have: those of one second, at least one."""
    return max(BURST_MIN, rate_per_s * BURST_DURATION_S)


def default_run_policy(methods: tuple[str, ...]) -> RunPolicy:
    """Return the idempotent policy if HTTP defines all methods as idempotent."""
    if IDEMPOTENT_METHODS.issuperset(methods):
        return RunIdempotent()
    return RunOnce()
