"""Decide whether this host may serve keyed routes and spend its rate-limit shares."""

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
    own_host: Host,
    effective_versions: Versions,
    observed_configuration: ObservedObject | None,
    observed_roster: ObservedObject | None,
    roster: Roster,
    statuses: HostStatuses,
    lease_s: float,
    now_s: float,
) -> LeaseState:
    """Return the lease from the more recent of two confirmations.

    The first is an observation of both platform objects at no newer versions than
    the effective ones; the second is a majority of the roster that reports no
    newer versions. This host counts towards the majority only with the
    incarnation that the roster names.
    """
    times = [
        _observed_at_s(effective_versions, observed_configuration, observed_roster),
        _attested_at_s(own_host, effective_versions, roster, statuses, now_s),
    ]
    confirmed_s = [time_s for time_s in times if time_s is not None]
    if not confirmed_s:
        return LeaseLapsed(
            reason="not confirmed by the platform or a majority of the roster"
        )
    until_s = max(confirmed_s) + lease_s
    if until_s <= now_s:
        return LeaseLapsed(
            reason=f"last confirmed {now_s - max(confirmed_s):.1f} s ago"
        )
    return LeaseHeld(until_s=until_s)


def _observed_at_s(
    effective_versions: Versions,
    configuration: ObservedObject | None,
    roster: ObservedObject | None,
) -> float | None:
    if configuration is None or roster is None:
        return None
    if configuration.version > effective_versions.configuration:
        return None
    if roster.version > effective_versions.roster:
        return None
    return min(configuration.as_of_s, roster.as_of_s)


def _attested_at_s(
    own_host: Host,
    effective_versions: Versions,
    roster: Roster,
    statuses: HostStatuses,
    now_s: float,
) -> float | None:
    if effective_versions.configuration == 0:
        return None
    times_s = [now_s] if roster.hosts.get(own_host.host_id) == own_host else []
    for host_id, host in roster.hosts.items():
        view = statuses.by_host.get(host_id)
        if host_id == own_host.host_id or view is None:
            continue
        if view.status.incarnation != host.incarnation:
            continue
        if _is_newer(view.status.versions, effective_versions):
            return None
        times_s.append(view.as_of_s)
    majority = len(roster.hosts) // 2 + 1
    if len(times_s) < majority:
        return None
    return sorted(times_s, reverse=True)[majority - 1]


def _is_newer(versions: Versions, effective_versions: Versions) -> bool:
    return (
        versions.configuration > effective_versions.configuration
        or versions.roster > effective_versions.roster
    )
