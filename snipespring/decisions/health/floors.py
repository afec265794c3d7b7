"""Keep the number of usable servers of a service at or above its floor."""

from collections.abc import Set
from math import ceil

from ...records import EvidencePool, ServerId

__all__ = ["list_unusable", "required_servers", "satisfies_floor"]

ROUNDING_TOLERANCE = 1e-9
REPORT_LIFETIME_S = 5.0  # after this, a report that a server drains is ignored
UNREACHABLE_LIFETIME_S = 30.0  # after this, a failure to connect is ignored


def required_servers(count: int, floor: float) -> int:
    """Return how many of `count` servers must stay in use, at a share of `floor`."""
    return ceil(floor * count - ROUNDING_TOLERANCE)


def satisfies_floor(
    servers: Set[ServerId], excluded: Set[ServerId], floor: float
) -> bool:
    """Return whether enough servers remain without the excluded ones."""
    remaining = len(servers - excluded)
    return remaining >= required_servers(len(servers), floor)


def list_unusable(pool: EvidencePool, now_s: float) -> frozenset[ServerId]:
    """Return the servers that are draining or unreachable, ejected or not."""
    draining = {
        entry.server
        for reporter in pool.reporters.values()
        if now_s - reporter.received_s < REPORT_LIFETIME_S
        for entry in reporter.servers.values()
        if entry.draining
    }
    unreachable = {
        server_id
        for server_id, server in pool.servers.items()
        if server.unreachable_s > server.answered_s
        and now_s - server.unreachable_s < UNREACHABLE_LIFETIME_S
    }
    return frozenset(draining | unreachable)
