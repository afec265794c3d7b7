"""Decide what the hosts know of each other and of the platform."""

from .fences import (
    advance_fence,
)
from .leases import (
    decide_lease,
)
from .placement import (
    holder_of,
    rank_hosts,
)
from .rosters import (
    base_version,
    change_roster,
    compact_roster,
    list_ended_incarnations,
    list_rosters,
    restore_roster,
)
from .sightings import (
    age_sighting,
    merge_sightings,
    receive_sighting,
)
from .statuses import (
    age_statuses,
    merge_status,
    receive_statuses,
)

__all__ = [
    "advance_fence",
    "age_sighting",
    "age_statuses",
    "base_version",
    "change_roster",
    "compact_roster",
    "decide_lease",
    "holder_of",
    "list_ended_incarnations",
    "list_rosters",
    "merge_sightings",
    "merge_status",
    "rank_hosts",
    "receive_sighting",
    "receive_statuses",
    "restore_roster",
]
