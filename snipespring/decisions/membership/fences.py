"""Decide below which roster version every old lease has certainly ended."""

from attrs import evolve

from ...records import Fence, HostId, HostStatuses, PendingFence, Roster

__all__ = ["advance_fence"]

MAX_PENDING = 16


def advance_fence(
    fence: Fence,
    *,
    own: HostId,
    roster: Roster,
    statuses: HostStatuses,
    lease_s: float,
    drift_margin_s: float,
    now_s: float,
) -> Fence:
    """Return the fence after the statuses heard; its version only rises.

    A version counts from the moment more than half of the roster reports it;
    any other half that still attests an older one shares a host with these.
    """
    reported = _majority_version(own, roster, statuses)
    pending = fence.pending
    newest = pending[-1].version if pending else fence.version
    if reported > newest:
        added = PendingFence(version=reported, reported_at_s=now_s)
        pending = (*pending, added)[-MAX_PENDING:]
    wait_s = lease_s + drift_margin_s
    ripe = [entry for entry in pending if entry.reported_at_s + wait_s <= now_s]
    if not ripe:
        return evolve(fence, pending=pending)
    version = max(fence.version, ripe[-1].version)
    left = tuple(entry for entry in pending if entry.version > version)
    return Fence(version=version, pending=left)


def _majority_version(own: HostId, roster: Roster, statuses: HostStatuses) -> int:
    versions = [roster.version]
    for host_id, host in roster.hosts.items():
        view = statuses.by_host.get(host_id)
        if host_id == own or view is None:
            continue
        if view.status.incarnation == host.incarnation:
            versions.append(view.status.versions.roster)
    majority = len(roster.hosts) // 2 + 1
    if len(versions) < majority:
        return 0
    return sorted(versions, reverse=True)[majority - 1]
