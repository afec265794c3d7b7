"""List the servers whose scores call for ejection or avoidance."""

from ...records import EvidencePool, HealthPolicy, ServerId

__all__ = ["list_suspects"]

NEAR_EJECTION_RATIO = 0.5
MAX_NEAR_EJECTION_SHARE = 1 / 3


def list_suspects(
    pool: EvidencePool, policy: HealthPolicy, server_count: int
) -> list[ServerId]:
    """Return the servers that reached the ejection score, worst first.

    The list is empty if too many of the `server_count` servers are halfway to that
    score, which indicates a fault that they share.
    """
    scores = {server_id: server.score for server_id, server in pool.servers.items()}
    near_ejection = sum(
        score >= policy.ejection_score * NEAR_EJECTION_RATIO
        for score in scores.values()
    )
    if near_ejection > max(1.0, server_count * MAX_NEAR_EJECTION_SHARE):
        return []
    suspects = [
        server_id
        for server_id, score in scores.items()
        if score >= policy.ejection_score
    ]
    return sorted(suspects, key=lambda server_id: -scores[server_id])
