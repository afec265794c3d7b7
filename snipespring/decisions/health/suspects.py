"""List the servers whose scores call for an ejection or avoidance."""

from ...records import EvidencePool, HealthPolicy, ServerId

__all__ = ["list_suspects"]

NEAR_EJECTION_RATIO = 0.5
MAX_NEAR_EJECTION_SHARE = 1 / 3


def list_suspects(
    pool: EvidencePool, policy: HealthPolicy, server_count: int
) -> list[ServerId]:
    """Return servers over the trip score, worst first.

    None is returned when too many of the `server_count` servers are half way there,
    which points to a shared fault.
    """
    scores = {server_id: server.score for server_id, server in pool.servers.items()}
    half_way = sum(
        score >= policy.ejection_score * NEAR_EJECTION_RATIO
        for score in scores.values()
    )
    if half_way > max(1.0, server_count * MAX_NEAR_EJECTION_SHARE):
        return []
    tripped = [key for key, score in scores.items() if score >= policy.ejection_score]
    return sorted(tripped, key=lambda server_id: -scores[server_id])
