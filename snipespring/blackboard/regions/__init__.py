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
    EVIDENCE,
    SERVER_STATES,
)
from .process import (
    COUNTERS,
    EVENTS,
    STOP,
)
from .routing import (
    ATTEMPT_WATCH,
    HELD_BODIES,
    REQUEST_QUEUES,
    RETRY_BUDGETS,
    RUNNING_ATTEMPTS,
    SERVER_LOADS,
    SERVER_SUBSETS,
)

__all__ = [
    "ATTEMPT_WATCH",
    "CONFIGURATION",
    "COUNTERS",
    "EVENTS",
    "EVIDENCE",
    "FENCE",
    "HELD_BODIES",
    "HOST_STATUSES",
    "LEASE",
    "OWN_STATUS",
    "PEER_VIEW",
    "PLATFORM_CONFIGURATION",
    "PLATFORM_ROSTER",
    "REQUEST_QUEUES",
    "RETRY_BUDGETS",
    "ROSTER",
    "RUNNING_ATTEMPTS",
    "SERVER_LOADS",
    "SERVER_STATES",
    "SERVER_SUBSETS",
    "STOP",
]
