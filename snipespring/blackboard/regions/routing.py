"""List the regions about the choice of backend servers."""

from ...records import ServerLoads, ServerSubsets
from ..region import Region

__all__ = ["SERVER_LOADS", "SERVER_SUBSETS"]

SERVER_LOADS = Region[ServerLoads](
    name="server_loads", writer="forwarder", initial=ServerLoads()
)
SERVER_SUBSETS = Region[ServerSubsets](
    name="server_subsets", writer="subset_keeper", initial=ServerSubsets()
)
