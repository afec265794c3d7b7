"""Define the regions of requests to backend servers."""

from ...records import (
    AttemptWatch,
    BufferedBodies,
    RequestQueues,
    RetryBudgets,
    RunningAttempts,
    ServerLoads,
    ServerSubsets,
    ServiceConcurrency,
)
from ..region import Region

__all__ = [
    "ATTEMPT_WATCH",
    "BUFFERED_BODIES",
    "REQUEST_QUEUES",
    "RETRY_BUDGETS",
    "RUNNING_ATTEMPTS",
    "SERVER_LOADS",
    "SERVER_SUBSETS",
    "SERVICE_CONCURRENCY",
]

BUFFERED_BODIES = Region[BufferedBodies](
    name="held_bodies", writer="body_keeper", initial=BufferedBodies()
)
RUNNING_ATTEMPTS = Region[RunningAttempts](
    name="running_attempts", writer="canceller", initial=RunningAttempts()
)
ATTEMPT_WATCH = Region[AttemptWatch](
    name="attempt_watch", writer="canceller", initial=AttemptWatch()
)
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
SERVICE_CONCURRENCY = Region[ServiceConcurrency](
    name="service_concurrency",
    writer="concurrency_limiter",
    initial=ServiceConcurrency(),
)
