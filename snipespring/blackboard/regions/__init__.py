"""List every region of the blackboard and the controller that writes it."""

from .fleet import (
    CONFIGURATION,
    FENCE,
    HEARD_HOSTS,
    HELD_SEGMENTS,
    HOST_STATUSES,
    LEASE,
    OWN_STATUS,
    PEER_VIEW,
    PLATFORM_CONFIGURATION,
    PLATFORM_ROSTER,
    REFUSED_CONFIGURATION,
    ROSTER,
)
from .health import (
    EVIDENCE,
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
    "EVENTS",
    "EVIDENCE",
    "FENCE",
    "HEARD_HOSTS",
    "HELD_SEGMENTS",
    "HOST_STATUSES",
    "LEASE",
    "OWN_STATUS",
    "PEER_VIEW",
    "PLATFORM_CONFIGURATION",
    "PLATFORM_ROSTER",
    "REFUSED_CONFIGURATION",
    "ROSTER",
    "SERVER_LOADS",
    "SERVER_STATES",
    "STOP",
]
