"""List every region of the blackboard and the controller that writes it."""

from .fleet import (
    CONFIGURATION,
    FENCE,
    HEARD_HOSTS,
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
from .limits import (
    CREDIT_NEEDS,
    SHARE_LEDGER,
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
    "CREDIT_NEEDS",
    "EVENTS",
    "EVIDENCE",
    "FENCE",
    "HEARD_HOSTS",
    "HOST_STATUSES",
    "LEASE",
    "OWN_STATUS",
    "PEER_VIEW",
    "PLATFORM_CONFIGURATION",
    "PLATFORM_ROSTER",
    "ROSTER",
    "SERVER_LOADS",
    "SERVER_STATES",
    "SHARE_LEDGER",
    "STOP",
]
