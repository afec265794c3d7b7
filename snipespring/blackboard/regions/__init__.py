"""List every region of the blackboard and the controller that writes it."""

from .fleet import (
    CONFIGURATION,
    FENCE,
    HOST_STATUSES,
    LEASE,
    OWN_STATUS,
    PEER_VIEW,
    PLATFORM_CONFIGURATION,
    PLATFORM_ROSTER,
    ROSTER,
)
from .health import (
    EJECTION_LISTS,
    EVIDENCE,
    HEALTH_POOLS,
    LOCAL_HEALTH,
    SERVER_STATES,
)
from .process import (
    COUNTERS,
    EVENTS,
    STOP,
)
from .routing import (
    SERVER_LOADS,
)

__all__ = [
    "CONFIGURATION",
    "COUNTERS",
    "EJECTION_LISTS",
    "EVENTS",
    "EVIDENCE",
    "FENCE",
    "HEALTH_POOLS",
    "HOST_STATUSES",
    "LEASE",
    "LOCAL_HEALTH",
    "OWN_STATUS",
    "PEER_VIEW",
    "PLATFORM_CONFIGURATION",
    "PLATFORM_ROSTER",
    "ROSTER",
    "SERVER_LOADS",
    "SERVER_STATES",
    "STOP",
]
