from .failure_detection import (
    SilenceTimeouts,
    list_hosts_to_remove,
    list_silent_peers,
)
from .fences import (
    advance_fence,
)
from .journals import (
    find_resume_position,
    is_missing_statuses,
    make_status_ages,
    refresh_status_times,
)
from .leases import (
    decide_lease,
)
from .neighbours import (
    choose_neighbours,
)
from .observations import (
    make_aged_observation,
    merge_observations,
    receive_observation,
)
from .placement import (
    find_role_holder,
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
from .statuses import (
    make_aged_statuses,
    merge_status,
    prune_statuses,
    receive_statuses,
)
from .watching import (
    Relay,
    Watch,
    WatchDuty,
    decide_watch,
    draw_backoff_s,
)

__all__ = [
    "Relay",
    "SilenceTimeouts",
    "Watch",
    "WatchDuty",
    "advance_fence",
    "base_version",
    "change_roster",
    "choose_neighbours",
    "compact_roster",
    "decide_lease",
    "decide_watch",
    "draw_backoff_s",
    "find_resume_position",
    "find_role_holder",
    "is_missing_statuses",
    "list_ended_incarnations",
    "list_hosts_to_remove",
    "list_rosters",
    "list_silent_peers",
    "make_aged_observation",
    "make_aged_statuses",
    "make_status_ages",
    "merge_observations",
    "merge_status",
    "prune_statuses",
    "rank_hosts",
    "receive_observation",
    "receive_statuses",
    "refresh_status_times",
    "restore_roster",
]
