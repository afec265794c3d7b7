"""Decide which host statuses a peer still needs, and how old the others are.

A peer needs only the statuses that changed since its last pull. The ages let it
refresh the times of the others.
"""

from collections.abc import Iterator
from math import ceil

from attrs import evolve

from ...records import (
    Host,
    HostId,
    HostStatuses,
    HostView,
    Incarnation,
    JournalPosition,
    Roster,
    StatusAges,
)

__all__ = [
    "find_resume_position",
    "is_missing_statuses",
    "make_status_ages",
    "refresh_status_times",
]

AGE_UNIT_S = 0.02  # the unit of the status ages that are sent as bytes
# In units of AGE_UNIT_S: stands for a missing status or one at least this old.
AGE_UNKNOWN = 255
MIN_REFRESH_S = 0.25  # a status time is refreshed only by more than this


def find_resume_position(
    read_position: JournalPosition | None, journal: Incarnation
) -> int:
    """Return the journal position after which a peer needs changes; 0 means all."""
    if read_position is None or read_position.journal != journal:
        return 0
    return max(0, read_position.position)


def make_status_ages(
    roster: Roster, statuses: HostStatuses, *, now_s: float
) -> StatusAges:
    """Return the ages of the statuses of all hosts in the roster, rounded up."""
    ages = bytes(
        _age_byte(statuses.by_host.get(host_id), roster.hosts[host_id], now_s)
        for host_id in sorted(roster.hosts)
    )
    return StatusAges(roster=roster.version, ages=ages)


def refresh_status_times(
    statuses: HostStatuses,
    ages: StatusAges | None,
    roster: Roster,
    *,
    own_id: HostId,
    sent_at_s: float,
) -> HostStatuses:
    """Return the statuses with the later times that a peer's ages prove.

    The peer's changed statuses must have been merged before, so that the stored
    status of a host is at least as new as the one whose age the peer reports.
    """
    refreshed = {
        host_id: HostView(status=view.status, as_of_s=as_of_s)
        for host_id, view, as_of_s in _list_proven_times(
            statuses, ages, roster, sent_at_s
        )
        if host_id != own_id and as_of_s > view.as_of_s + MIN_REFRESH_S
    }
    if not refreshed:
        return statuses
    return evolve(statuses, by_host=statuses.by_host.update(refreshed))


def is_missing_statuses(
    statuses: HostStatuses, ages: StatusAges | None, roster: Roster
) -> bool:
    """Return whether a peer has a host's current status that is missing here."""
    if ages is None or not _is_for_roster(ages, roster):
        return False
    return any(
        age != AGE_UNKNOWN
        and not _is_current_incarnation(statuses.by_host.get(host_id), roster)
        for host_id, age in zip(sorted(roster.hosts), ages.ages, strict=True)
    )


def _list_proven_times(
    statuses: HostStatuses, ages: StatusAges | None, roster: Roster, sent_at_s: float
) -> Iterator[tuple[HostId, HostView, float]]:
    if ages is None or not _is_for_roster(ages, roster):
        return
    for host_id, age in zip(sorted(roster.hosts), ages.ages, strict=True):
        view = statuses.by_host.get(host_id)
        if (
            age != AGE_UNKNOWN
            and view is not None
            and _is_current_incarnation(view, roster)
        ):
            yield host_id, view, sent_at_s - age * AGE_UNIT_S


def _is_for_roster(ages: StatusAges, roster: Roster) -> bool:
    return ages.roster == roster.version and len(ages.ages) == len(roster.hosts)


def _is_current_incarnation(view: HostView | None, roster: Roster) -> bool:
    if view is None:
        return False
    status = view.status
    return roster.hosts[status.host_id].incarnation == status.incarnation


def _age_byte(view: HostView | None, host: Host, now_s: float) -> int:
    if view is None or view.status.incarnation != host.incarnation:
        return AGE_UNKNOWN
    age = ceil(max(0.0, now_s - view.as_of_s) / AGE_UNIT_S)
    return min(age, AGE_UNKNOWN)
