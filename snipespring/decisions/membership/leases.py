"""Decide whether this host may serve keyed routes and spend shares."""

from ...records import (
    Host,
    HostStatuses,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    ObservedObject,
    Roster,
    Versions,
)

__all__ = ["decide_lease"]


def decide_lease(
    *,
    own: Host,
    in_force: Versions,
    configuration: ObservedObject | None,
    roster_seen: ObservedObject | None,
    roster: Roster,
    statuses: HostStatuses,
    lease_s: float,
    now_s: float,
) -> LeaseState:
    """Return the lease from the freshest of two grounds.

    The first is a sighting of both platform objects at the versions in force;
    the second is more than half of the roster at no newer versions. This host
    counts among these only with the incarnation that the roster names.
    """
    times = [
        _sighted_at_s(in_force, configuration, roster_seen),
        _attested_at_s(own, in_force, roster, statuses, now_s),
    ]
    known = [time_s for time_s in times if time_s is not None]
    if not known:
        return LeaseLapsed(reason="neither the platform nor half of the hosts heard")
    until_s = max(known) + lease_s
    if until_s <= now_s:
        return LeaseLapsed(reason=f"last confirmed {now_s - max(known):.1f} s ago")
    return LeaseHeld(until_s=until_s)


def _sighted_at_s(
    in_force: Versions,
    configuration: ObservedObject | None,
    roster: ObservedObject | None,
) -> float | None:
    if configuration is None or roster is None:
        return None
    if configuration.version > in_force.configuration:
        return None
    if roster.version > in_force.roster:
        return None
    return min(configuration.as_of_s, roster.as_of_s)


def _attested_at_s(
    own: Host,
    in_force: Versions,
    roster: Roster,
    statuses: HostStatuses,
    now_s: float,
) -> float | None:
    if in_force.configuration == 0:
        return None
    times_s = [now_s] if roster.hosts.get(own.host_id) == own else []
    for host_id, host in roster.hosts.items():
        view = statuses.by_host.get(host_id)
        if host_id == own.host_id or view is None:
            continue
        if view.status.incarnation != host.incarnation:
            continue
        if _is_newer(view.status.versions, in_force):
            return None
        times_s.append(view.as_of_s)
    majority = len(roster.hosts) // 2 + 1
    if len(times_s) < majority:
        return None
    return sorted(times_s, reverse=True)[majority - 1]


def _is_newer(versions: Versions, in_force: Versions) -> bool:
    return (
        versions.configuration > in_force.configuration
        or versions.roster > in_force.roster
    )
