"""List the regions about backend servers' health."""

from ...records import Evidence, ServerStates
from ..region import Region

__all__ = ["EVIDENCE", "SERVER_STATES"]

EVIDENCE = Region[Evidence](name="evidence", writer="sender", initial=Evidence())
SERVER_STATES = Region[ServerStates](
    name="server_states", writer="health_keeper", initial=ServerStates()
)
