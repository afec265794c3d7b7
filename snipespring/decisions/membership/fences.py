"""Decide below which roster version every old lease has certainly ended."""

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
    """Return the fence after the statuses heard; its version only rises.

    A version counts from the moment when half of each earlier roster that is
    not fenced yet can no longer attest that earlier roster.
    """
    base = max(fence.version, base_version(roster))
    settled = _find_superseding_version(base, own_host, roster, statuses)
    pending = tuple(entry for entry in fence.pending if entry.version > base)
    newest = pending[-1].version if pending else base
    if settled > newest and len(pending) < MAX_PENDING_FENCES:
        pending = (*pending, PendingFence(version=settled, reported_at_s=now_s))
    wait_s = lease_s + drift_margin_s
    ripe = [entry for entry in pending if entry.reported_at_s + wait_s <= now_s]
    if not ripe:
        return evolve(fence, version=base, pending=pending)
    version = ripe[-1].version
    left = tuple(entry for entry in pending if entry.version > version)
    return Fence(version=version, pending=left)


def _find_superseding_version(
    base: int, own_host: Host, roster: Roster, statuses: HostStatuses
) -> int:
    """Return the newest version that no attestation of an older roster survives."""
    ended = list_ended_incarnations(roster)
    reached = _reported_versions(own_host, roster, statuses)
    bound = roster.version
    settled = base
    unfenced = (entry for entry in list_rosters(roster) if entry[0] >= base)
    for version, hosts in islice(unfenced, MAX_CHECKED_ROSTERS):
        if version > bound:
            return settled
        settled = version
        bound = min(bound, _blocking_version(hosts, ended, reached, roster.version))
    return settled


def _blocking_version(
    hosts: Map[HostId, Host],
    ended: frozenset[tuple[HostId, str]],
    reported: dict[tuple[HostId, str], int],
    latest: int,
) -> int:
    """Return the highest version that half of the hosts have come to."""
    versions = [
        latest if ident in ended else reported.get(ident, 0)
        for ident in ((host.host_id, host.incarnation) for host in hosts.values())
    ]
    half = (len(versions) + 1) // 2
    return sorted(versions, reverse=True)[half - 1] if half else latest


def _reported_versions(
    own_host: Host, roster: Roster, statuses: HostStatuses
) -> dict[tuple[HostId, str], int]:
    reached: dict[tuple[HostId, str], int] = {
        (host_id, view.status.incarnation): view.status.versions.roster
        for host_id, view in statuses.by_host.items()
    }
    reached[own_host.host_id, own_host.incarnation] = roster.version
    return reached
