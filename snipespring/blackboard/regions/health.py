"""List the regions about backend servers' health."""

from ...records import Evidence, HeldLists, LocalHealth, PoolBoard, ServerStates
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
EJECTION_LISTS = Region[HeldLists](
    name="ejection_lists", writer="health_reporter", initial=HeldLists()
)
HEALTH_POOLS = Region[PoolBoard](
    name="health_pools", writer="health_judge", initial=PoolBoard()
)
