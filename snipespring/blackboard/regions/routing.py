"""List the regions about backend servers' load."""

from ...records import ServerLoads
from ..region import Region

__all__ = ["SERVER_LOADS"]

SERVER_LOADS = Region[ServerLoads](
    name="server_loads", writer="forwarder", initial=ServerLoads()
)
