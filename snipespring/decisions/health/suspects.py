"""List the servers whose scores call for an ejection or avoidance."""

from ...records import EvidencePool, HealthPolicy, ServerId

__all__ = ["list_suspects"]

HALF_WAY = 0.5
MAX_SHARE_HALF_WAY = 1 / 3


def list_suspects(
    pool: EvidencePool, policy: HealthPolicy, count: int
) -> list[ServerId]:
    """Return servers over the trip score, worst first.

    None is returned when too many of the `count` servers are half way there,
    which points to a shared fault.
    """
    scores = {server_id: server.score for server_id, server in pool.servers.items()}
    half_way = sum(
        score >= policy.ejection_score * HALF_WAY for score in scores.values()
    )
    if half_way > max(1.0, count * MAX_SHARE_HALF_WAY):
        return []
    tripped = [key for key, score in scores.items() if score >= policy.ejection_score]
    return sorted(tripped, key=lambda server_id: -scores[server_id])
