"""Decide what the hosts know of each other and of the platform."""

from .fences import (
    advance_fence,
)
from .journals import (
    age_vector,
    misses_statuses,
    read_after,
    renew_statuses,
)
from .leases import (
    decide_lease,
)
from .neighbours import (
    choose_neighbours,
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
from .silence import (
    SilenceLimits,
    list_silent_hosts,
    list_unheard_hosts,
)
from .statuses import (
    age_statuses,
    forget_statuses,
    merge_status,
    receive_statuses,
)
from .watching import (
    Relay,
    Watch,
    WatchDuty,
    backoff_s,
    decide_watch,
)

__all__ = [
    "Relay",
    "SilenceLimits",
    "Watch",
    "WatchDuty",
    "advance_fence",
    "age_sighting",
    "age_statuses",
    "age_vector",
    "backoff_s",
    "base_version",
    "change_roster",
    "choose_neighbours",
    "compact_roster",
    "decide_lease",
    "decide_watch",
    "forget_statuses",
    "holder_of",
    "list_ended_incarnations",
    "list_rosters",
    "list_silent_hosts",
    "list_unheard_hosts",
    "merge_sightings",
    "merge_status",
    "misses_statuses",
    "rank_hosts",
    "read_after",
    "receive_sighting",
    "receive_statuses",
    "renew_statuses",
    "restore_roster",
]
