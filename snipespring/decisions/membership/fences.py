"""Decide below which roster version all leases have certainly ended."""

from itertools import islice

from attrs import evolve
from immutables import Map

from ...records import Fence, Host, HostId, HostStatuses, PendingFence, Roster
from .rosters import base_version, list_ended_incarnations, list_rosters

__all__ = ["advance_fence"]

MAX_PENDING_FENCES = 16
MAX_CHECKED_ROSTERS = 64


def advance_fence(
    fence: Fence,
    *,
    own_host: Host,
    roster: Roster,
    statuses: HostStatuses,
    lease_s: float,
    drift_margin_s: float,
    now_s: float,
) -> Fence:
    """Return the fence that follows from the reported statuses.

    A version supersedes all earlier rosters that are not fenced yet once half of the
    hosts of each of them report that version or a later one, or have ended: then no
    majority is left to attest a lease under an earlier roster. It becomes the fence
    `lease_s + drift_margin_s` seconds later. The version of the fence only rises.
    """
    base = max(fence.version, base_version(roster))
    superseding = _find_superseding_version(base, own_host, roster, statuses)
    pending = tuple(entry for entry in fence.pending if entry.version > base)
    newest = pending[-1].version if pending else base
    if superseding > newest and len(pending) < MAX_PENDING_FENCES:
        pending = (*pending, PendingFence(version=superseding, reported_at_s=now_s))
    wait_s = lease_s + drift_margin_s
    elapsed = [entry for entry in pending if entry.reported_at_s + wait_s <= now_s]
    if not elapsed:
        return evolve(fence, version=base, pending=pending)
    version = elapsed[-1].version
    remaining = tuple(entry for entry in pending if entry.version > version)
    return Fence(version=version, pending=remaining)


def _find_superseding_version(
    base: int, own_host: Host, roster: Roster, statuses: HostStatuses
) -> int:
    """Return the newest version for which no majority attests an older roster."""
    ended = list_ended_incarnations(roster)
    reported = _reported_versions(own_host, roster, statuses)
    bound = roster.version
    superseding = base
    unfenced = (entry for entry in list_rosters(roster) if entry[0] >= base)
    for version, hosts in islice(unfenced, MAX_CHECKED_ROSTERS):
        if version > bound:
            return superseding
        superseding = version
        bound = min(
            bound, _half_reported_version(hosts, ended, reported, roster.version)
        )
    return superseding


def _half_reported_version(
    hosts: Map[HostId, Host],
    ended: frozenset[tuple[HostId, str]],
    reported: dict[tuple[HostId, str], int],
    latest: int,
) -> int:
    """Return the highest version that at least half of the hosts have reached.

    Ended incarnations count as hosts that reached the latest version.
    """
    versions = [
        latest if process in ended else reported.get(process, 0)
        for process in ((host.host_id, host.incarnation) for host in hosts.values())
    ]
    half = (len(versions) + 1) // 2
    return sorted(versions, reverse=True)[half - 1] if half else latest


def _reported_versions(
    own_host: Host, roster: Roster, statuses: HostStatuses
) -> dict[tuple[HostId, str], int]:
    reported: dict[tuple[HostId, str], int] = {
        (host_id, view.status.incarnation): view.status.versions.roster
        for host_id, view in statuses.by_host.items()
    }
    reported[own_host.host_id, own_host.incarnation] = roster.version
    return reported
