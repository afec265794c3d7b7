"""Keep the number of healthy servers of a service at its floor or above."""

from collections.abc import Set
from math import ceil

from ...records import EvidencePool, ServerId

__all__ = ["satisfies_floor", "list_unusable", "required_servers"]

ROUNDING_TOLERANCE = 1e-9
REPORT_LIFETIME_S = 5.0
UNREACHABLE_LIFETIME_S = 30.0


def required_servers(count: int, floor: float) -> int:
    """Return how many of a service's servers must stay healthy."""
    return ceil(floor * count - ROUNDING_TOLERANCE)


def satisfies_floor(
    servers: Set[ServerId], excluded: Set[ServerId], floor: float
) -> bool:
    """Return whether enough servers are left when those taken are out."""
    left = len(servers - excluded)
    return left >= required_servers(len(servers), floor)


def list_unusable(pool: EvidencePool, now_s: float) -> frozenset[ServerId]:
    """Return the servers that drain or cannot be reached, whatever we decide."""
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
