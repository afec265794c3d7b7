"""Define the regions of the health of backend servers."""

from ...records import (
    EjectionListCopies,
    Evidence,
    EvidencePools,
    LocalHealth,
    ServerStates,
)
from ..region import Region

__all__ = [
    "EJECTION_LISTS",
    "EVIDENCE",
    "HEALTH_POOLS",
    "LOCAL_HEALTH",
    "SERVER_STATES",
]

EVIDENCE = Region[Evidence](name="evidence", writer="sender", initial=Evidence())
SERVER_STATES = Region[ServerStates](
    name="server_states", writer="health_keeper", initial=ServerStates()
)
LOCAL_HEALTH = Region[LocalHealth](
    name="local_health", writer="health_keeper", initial=LocalHealth()
)
EJECTION_LISTS = Region[EjectionListCopies](
    name="ejection_lists", writer="health_reporter", initial=EjectionListCopies()
)
HEALTH_POOLS = Region[EvidencePools](
    name="health_pools", writer="health_judge", initial=EvidencePools()
)
