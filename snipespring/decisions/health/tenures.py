"""Decide whether this host keeps the ejection list of a service."""

from attrs import evolve

from ...records import (
    Fence,
    Host,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    Roster,
    ServiceName,
    Tenure,
)
from ..membership import holder_of

__all__ = ["find_holder", "has_begun", "renew_tenure"]


def find_holder(roster: Roster, service: ServiceName) -> Host | None:
    """Return the host that keeps the ejection list of a service."""
    return holder_of(roster, f"health/{service}")


def renew_tenure(
    held: Tenure | None,
    *,
    own: Host,
    service: ServiceName,
    roster: Roster,
    lease: LeaseState,
    now_s: float,
) -> Tenure | None:
    """Return the tenure as of now, or None if this host is not the holder.

    A tenure whose lease ended starts again at the present roster version.
    """
    if find_holder(roster, service) != own:
        return None
    match lease:
        case LeaseHeld(until_s=until_s) if now_s < until_s:
            if held is not None and now_s < held.lease_until_s:
                return evolve(held, lease_until_s=until_s)
            return Tenure(version=roster.version, lease_until_s=until_s)
        case LeaseHeld() | LeaseLapsed():
            return None


def has_begun(tenure: Tenure, fence: Fence) -> bool:
    """Return whether every earlier holder's lease has certainly ended."""
    return fence.version >= tenure.version
