"""Decide whether this host has been the only owner of a plain key for long enough.

A claim that an earlier owner granted may still count until TAKEOVER_WAIT_S after the
lease of that owner has certainly ended.
"""

from attrs import evolve
from immutables import Map

from ...records import (
    Fence,
    Host,
    HostId,
    LeaseHeld,
    LeaseLapsed,
    ObservedRoster,
    OwnerAuthority,
    Roster,
    RosterTenure,
)
from ..membership import find_role_holder, list_rosters
from .constants import TAKEOVER_WAIT_S

__all__ = ["advance_tenure", "find_misdirection", "is_sole_owner", "role_of"]

FIRST_VERSION = 1


def role_of(digest: bytes) -> str:
    """Return the name by which the hash function assigns a plain key to a host."""
    return f"claim/{digest.hex()}"


def advance_tenure(
    tenure: RosterTenure, *, own_host: Host, roster: Roster, fence: Fence, now_s: float
) -> RosterTenure:
    """Return the tenure with a roster and a fence recorded.

    The tenure restarts from this roster if a version in between was missed and the
    roster's history does not list that version.
    """
    observed = _append_roster(tenure.observed, roster)
    observed = tuple(_record_fence(entry, fence, now_s) for entry in observed)
    oldest_index = _newest_aged_index(observed, now_s)
    if oldest_index is None:
        return RosterTenure(observed=observed)
    observed = observed[oldest_index:]
    return RosterTenure(observed=observed, candidates=_candidates(observed, own_host))


def find_misdirection(
    authority: OwnerAuthority, digest: bytes, *, roster_version: int, now_s: float
) -> str | None:
    """Return why this host may not decide about a plain key now, None if it may."""
    roster = authority.roster
    if roster_version > roster.version:
        return "the owner's roster is older than the asking host's"
    match authority.lease:
        case LeaseLapsed(reason=reason):
            return f"the owner has no lease: {reason}"
        case LeaseHeld(until_s=until_s) if until_s <= now_s:
            return "the owner's lease has ended"
        case LeaseHeld():
            pass
    observed = authority.tenure.observed
    if not observed or observed[-1].version != roster.version:
        return "the owner has just received a new roster"
    holder = find_role_holder(roster, role_of(digest))
    if holder is None or holder.incarnation != authority.own.incarnation:
        return "another host owns the key according to the asked host's roster"
    return None


def is_sole_owner(authority: OwnerAuthority, digest: bytes) -> bool:
    """Return whether no other host can have granted the key within TAKEOVER_WAIT_S."""
    candidates = authority.tenure.candidates
    if candidates is None:
        return False
    holder = find_role_holder(candidates, role_of(digest))
    return holder is not None and holder.host_id == authority.own.host_id


def _append_roster(
    observed: tuple[ObservedRoster, ...], roster: Roster
) -> tuple[ObservedRoster, ...]:
    newest = ObservedRoster(version=roster.version, hosts=roster.hosts)
    last = observed[-1].version if observed else None
    if roster.version == last:
        return observed
    listed = tuple(
        ObservedRoster(version=version, hosts=hosts)
        for version, hosts in list_rosters(roster)
    )
    versions = [entry.version for entry in listed]
    if last in versions:
        return (*observed, *listed[versions.index(last) + 1 :])
    if last is not None and roster.version == last + 1:
        return (*observed, newest)
    return (newest,)


def _record_fence(entry: ObservedRoster, fence: Fence, now_s: float) -> ObservedRoster:
    if entry.fenced_at_s is not None or entry.version > fence.version:
        return entry
    return evolve(entry, fenced_at_s=now_s)


def _newest_aged_index(
    observed: tuple[ObservedRoster, ...], now_s: float
) -> int | None:
    aged = [index for index, entry in enumerate(observed) if _has_aged(entry, now_s)]
    return aged[-1] if aged else None


def _has_aged(entry: ObservedRoster, now_s: float) -> bool:
    if entry.version == FIRST_VERSION:
        return True
    if entry.fenced_at_s is None:
        return False
    return entry.fenced_at_s + TAKEOVER_WAIT_S <= now_s


def _candidates(observed: tuple[ObservedRoster, ...], own_host: Host) -> Roster | None:
    hosts: Map[HostId, Host] = Map()
    for entry in observed:
        host = entry.hosts.get(own_host.host_id)
        if host is None or host.incarnation != own_host.incarnation:
            return None
        hosts = hosts.update(entry.hosts)
    return Roster(version=observed[-1].version, hosts=hosts)
