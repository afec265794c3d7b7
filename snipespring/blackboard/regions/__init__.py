"""Collect all regions of the blackboard; each names the controller that writes it.

Operators see the names of regions in dumps of the blackboard and those of writers in
error messages, so both stay the same if a class is renamed.
"""

from .claims import (
    CLAIM_TABLE,
    PENDING_REPORTS,
    ROSTER_TENURE,
)
from .domains import ANSWER_LOG, DOMAIN_REPORTS, FLEET_VIEW, USAGE_LOG
from .feeds import CONFIGURATION_FEED, HOST_FEED, SERVER_FEED, STORE_RELAY
from .fleet import (
    CONFIGURATION,
    FENCE,
    HOST_CONTACTS,
    HOST_STATUSES,
    LEASE,
    OWN_STATUS,
    PEER_VIEW,
    PLATFORM_CONFIGURATION,
    PLATFORM_ROSTER,
    REFUSED_CONFIGURATION,
    ROSTER,
    STORED_SEGMENTS,
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
    STOP_STATE,
)
from .routing import (
    ATTEMPT_WATCH,
    BUFFERED_BODIES,
    REQUEST_QUEUES,
    RETRY_BUDGETS,
    RUNNING_ATTEMPTS,
    SERVER_LOADS,
    SERVER_SUBSETS,
)

__all__ = [
    "ANSWER_LOG",
    "ATTEMPT_WATCH",
    "CLAIM_TABLE",
    "PENDING_REPORTS",
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
    "HOST_CONTACTS",
    "BUFFERED_BODIES",
    "STORED_SEGMENTS",
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
    "STOP_STATE",
    "STORE_RELAY",
    "ROSTER_TENURE",
    "USAGE_LOG",
]
