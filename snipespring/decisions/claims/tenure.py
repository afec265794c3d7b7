"""Decide since when this host has been the only owner of a plain key."""

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
    """Return the name of the role that owns a plain key."""
    return f"claim/{digest.hex()}"


def advance_tenure(
    tenure: RosterTenure, *, own_host: Host, roster: Roster, fence: Fence, now_s: float
) -> RosterTenure:
    """Return the tenure with a roster taken in.

    A version that was missed, and that the roster does not list, begins it anew.
    """
    steps = _append_roster(tenure.observed, roster)
    steps = tuple(_record_fence(step, fence, now_s) for step in steps)
    base = _newest_aged_index(steps, now_s)
    if base is None:
        return RosterTenure(observed=steps)
    steps = steps[base:]
    return RosterTenure(observed=steps, candidates=_candidates(steps, own_host))


def find_misdirection(
    authority: OwnerAuthority, digest: bytes, *, roster_version: int, now_s: float
) -> str | None:
    """Return why this host may not decide about a plain key now, or None."""
    roster = authority.roster
    if roster_version > roster.version:
        return "the owner's roster is older than the asking host's"
    match authority.lease:
        case LeaseLapsed(reason=reason):
            return f"the owner has no lease: {reason}"
        case LeaseHeld(until_s=until_s) if until_s <= now_s:
            return "the owner's lease ended"
        case LeaseHeld():
            pass
    steps = authority.tenure.observed
    if not steps or steps[-1].version != roster.version:
        return "the owner has just received a new roster"
    holder = find_role_holder(roster, role_of(digest))
    if holder is None or holder.incarnation != authority.own.incarnation:
        return "by the asked host's roster another host owns the key"
    return None


def is_sole_owner(authority: OwnerAuthority, digest: bytes) -> bool:
    """Return whether no other host can have granted the key within the wait."""
    contenders = authority.tenure.candidates
    if contenders is None:
        return False
    holder = find_role_holder(contenders, role_of(digest))
    return holder is not None and holder.host_id == authority.own.host_id


def _append_roster(
    observed_rosters: tuple[ObservedRoster, ...], roster: Roster
) -> tuple[ObservedRoster, ...]:
    newest = ObservedRoster(version=roster.version, hosts=roster.hosts)
    last = observed_rosters[-1].version if observed_rosters else None
    if roster.version == last:
        return observed_rosters
    listed = tuple(
        ObservedRoster(version=version, hosts=hosts)
        for version, hosts in list_rosters(roster)
    )
    versions = [step.version for step in listed]
    if last in versions:
        return (*observed_rosters, *listed[versions.index(last) + 1 :])
    if last is not None and roster.version == last + 1:
        return (*observed_rosters, newest)
    return (newest,)


def _record_fence(
    observed_roster: ObservedRoster, fence: Fence, now_s: float
) -> ObservedRoster:
    if (
        observed_roster.fenced_at_s is not None
        or observed_roster.version > fence.version
    ):
        return observed_roster
    return evolve(observed_roster, fenced_at_s=now_s)


def _newest_aged_index(
    observed_rosters: tuple[ObservedRoster, ...], now_s: float
) -> int | None:
    ripe = [
        index for index, step in enumerate(observed_rosters) if _has_aged(step, now_s)
    ]
    return ripe[-1] if ripe else None


def _has_aged(observed_roster: ObservedRoster, now_s: float) -> bool:
    if observed_roster.version == FIRST_VERSION:
        return True
    if observed_roster.fenced_at_s is None:
        return False
    return observed_roster.fenced_at_s + TAKEOVER_WAIT_S <= now_s


def _candidates(
    observed_rosters: tuple[ObservedRoster, ...], own_host: Host
) -> Roster | None:
    hosts: Map[HostId, Host] = Map()
    for step in observed_rosters:
        held = step.hosts.get(own_host.host_id)
        if held is None or held.incarnation != own_host.incarnation:
            return None
        hosts = hosts.update(step.hosts)
    return Roster(version=observed_rosters[-1].version, hosts=hosts)
