"""Decide what the hosts know of each other and of the platform."""

from .leases import (
    decide_lease,
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
    "age_sighting",
    "age_statuses",
    "decide_lease",
    "merge_sightings",
    "merge_status",
    "receive_sighting",
    "receive_statuses",
]
