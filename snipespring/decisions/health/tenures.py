"""Decide whether this host holds the ejection list of a service."""

from attrs import evolve

from ...records import (
    EvidencePool,
    Fence,
    Host,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    Roster,
    ServiceName,
    Tenure,
)
from ..membership import find_role_holder
from .pooling import create_pool

__all__ = ["find_list_holder", "have_earlier_leases_ended", "renew_pool"]


def find_list_holder(roster: Roster, service: ServiceName) -> Host | None:
    """Return the host that holds the ejection list of a service."""
    return find_role_holder(roster, f"health/{service}")


def renew_pool(
    pool: EvidencePool | None,
    *,
    own_host: Host,
    service: ServiceName,
    roster: Roster,
    lease: LeaseState,
    now_s: float,
) -> EvidencePool | None:
    """Return the pool to continue with, or None if this host is not the holder.

    If the lease ended during the tenure, a new tenure starts at the current roster
    version, without entries.
    """
    if find_list_holder(roster, service) != own_host:
        return None
    match lease:
        case LeaseHeld(until_s=until_s) if now_s < until_s:
            if pool is not None and now_s < pool.tenure.lease_until_s:
                tenure = evolve(pool.tenure, lease_until_s=until_s)
                return evolve(pool, tenure=tenure)
            tenure = Tenure(version=roster.version, lease_until_s=until_s)
            return create_pool(tenure, now_s)
        case LeaseHeld() | LeaseLapsed():
            return None


def have_earlier_leases_ended(tenure: Tenure, fence: Fence) -> bool:
    """Return whether the leases of all earlier holders have certainly ended."""
    return fence.version >= tenure.version
