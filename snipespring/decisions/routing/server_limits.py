"""Hold this host's part of the rate that a server accepts from all hosts together.

Answers load: a server in need that names a rate far below what its hosts send. Each
host sends at most one request an interval, and the intervals of all hosts together make
up the rate. No message between hosts is needed, and a host that learns of the rate
begins at a random point of its interval, so that the hosts do not send together.
"""

from attrs import evolve

from ...records import ServerLimit

__all__ = ["record_limit", "spend_limit"]

# Share of the rate to use; the rest covers the variance of the hosts' random intervals.
USED_SHARE = 0.75
# A server that accepts less is still sent this, to learn when its limit ends.
MIN_RATE_PER_S = 0.1


def record_limit(
    limit: ServerLimit | None,
    rate_per_s: float | None,
    *,
    hosts: int,
    phase: float,
    now_s: float,
) -> ServerLimit | None:
    """Return the limit after an answer that names `rate_per_s`, None if it names none.

    `phase` is a random number from 0 to 1.
    """
    if rate_per_s is None:
        return None
    if limit is None:
        next_at_s = now_s + phase * _interval_s(rate_per_s, hosts)
        return ServerLimit(rate_per_s=rate_per_s, next_at_s=next_at_s)
    ratio = _interval_s(rate_per_s, hosts) / _interval_s(limit.rate_per_s, hosts)
    next_at_s = now_s + max(0.0, limit.next_at_s - now_s) * ratio
    return ServerLimit(rate_per_s=rate_per_s, next_at_s=next_at_s)


def spend_limit(
    limit: ServerLimit | None, *, hosts: int, now_s: float
) -> ServerLimit | None:
    """Return the limit after this host has sent one more request."""
    if limit is None:
        return None
    return evolve(limit, next_at_s=now_s + _interval_s(limit.rate_per_s, hosts))


def _interval_s(rate_per_s: float, hosts: int) -> float:
    return hosts / (USED_SHARE * max(MIN_RATE_PER_S, rate_per_s))
