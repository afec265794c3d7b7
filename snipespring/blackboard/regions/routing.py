"""List the regions about the choice of backend servers."""

from ...records import RequestQueues, RetryBudgets, ServerLoads, ServerSubsets
from ..region import Region

__all__ = ["REQUEST_QUEUES", "RETRY_BUDGETS", "SERVER_LOADS", "SERVER_SUBSETS"]

REQUEST_QUEUES = Region[RequestQueues](
    name="request_queues", writer="dispatcher", initial=RequestQueues()
)
RETRY_BUDGETS = Region[RetryBudgets](
    name="retry_budgets", writer="sender", initial=RetryBudgets()
)
SERVER_LOADS = Region[ServerLoads](
    name="server_loads", writer="dispatcher", initial=ServerLoads()
)
SERVER_SUBSETS = Region[ServerSubsets](
    name="server_subsets", writer="subset_keeper", initial=ServerSubsets()
)
