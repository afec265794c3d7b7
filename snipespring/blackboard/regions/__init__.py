"""List every region of the blackboard and the controller that writes it."""

from .claims import (
    CLAIM_MEMORY,
    CLAIM_REPORTS,
    TENURE,
)
from .domains import ANSWER_LOG, DOMAIN_REPORTS, FLEET_VIEW, USAGE_LOG
from .feeds import CONFIGURATION_FEED, HOST_FEED, SERVER_FEED, STORE_RELAY
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
    EJECTION_LISTS,
    EVIDENCE,
    HEALTH_POOLS,
    LOCAL_HEALTH,
    SERVER_STATES,
)
from .limits import (
    CREDIT_NEEDS,
    SHARE_LEDGER,
)
from .process import (
    COUNTERS,
    EVENTS,
    SETTINGS,
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
    "ANSWER_LOG",
    "ATTEMPT_WATCH",
    "CLAIM_MEMORY",
    "CLAIM_REPORTS",
    "CONFIGURATION",
    "CONFIGURATION_FEED",
    "COUNTERS",
    "CREDIT_NEEDS",
    "DOMAIN_REPORTS",
    "EJECTION_LISTS",
    "EVENTS",
    "EVIDENCE",
    "FENCE",
    "FLEET_VIEW",
    "HEALTH_POOLS",
    "HEARD_HOSTS",
    "HELD_BODIES",
    "HELD_SEGMENTS",
    "HOST_FEED",
    "HOST_STATUSES",
    "LEASE",
    "LOCAL_HEALTH",
    "OWN_STATUS",
    "PEER_VIEW",
    "PLATFORM_CONFIGURATION",
    "PLATFORM_ROSTER",
    "REFUSED_CONFIGURATION",
    "REQUEST_QUEUES",
    "RETRY_BUDGETS",
    "ROSTER",
    "RUNNING_ATTEMPTS",
    "SERVER_FEED",
    "SERVER_LOADS",
    "SERVER_STATES",
    "SERVER_SUBSETS",
    "SETTINGS",
    "SHARE_LEDGER",
    "STOP",
    "STORE_RELAY",
    "TENURE",
    "USAGE_LOG",
]
