"""Define the workloads and routing policies that are compared."""

from math import inf

from attrs import frozen

from snipespring.records import ServiceName

__all__ = [
    "RandomServer",
    "Plan",
    "Policy",
    "ProjectRouting",
    "TwoByLocalLoad",
    "TwoByReportedLoad",
    "rate_at_utilisation",
]

HOSTS, SERVERS, SLOTS, DOMAINS = 44, 14, 3, 3
SERVER_QUEUE_LENGTH = 3
SLOW_FACTOR = 5.0
MEAN_SERVICE_S, SERVICE_SIGMA = 0.025, 0.5
LOCAL_DELAY_S, REMOTE_DELAY_S = 0.00025, 0.003
DEADLINE_S, RETRY_FRACTION, MAX_ATTEMPTS, MAX_QUEUED = 1.0, 0.1, 3, 64
SERVICE = ServiceName("ledger")


@frozen(kw_only=True)
class RandomServer:
    """Choose a server at random."""


@frozen(kw_only=True)
class TwoByLocalLoad:
    """Choose the one of two random servers with fewer attempts from this host."""


@frozen(kw_only=True)
class TwoByReportedLoad:
    """Choose the one of two random servers with fewer busy slots in its last report."""


@frozen(kw_only=True)
class ProjectRouting:
    """Queue on the host and choose servers as this project does.

    If not `fair`, requests are queued in order of arrival.
    """

    fair: bool = True


Policy = RandomServer | TwoByLocalLoad | TwoByReportedLoad | ProjectRouting


def rate_at_utilisation(utilisation: float) -> float:
    """Return the requests per second that keep this fraction of the slots busy."""
    return utilisation * SERVERS * SLOTS / MEAN_SERVICE_S


@frozen(kw_only=True)
class Plan:
    """Describe one run; `rates_per_s` gives the request rate of each organisation."""

    policy: Policy
    rates_per_s: tuple[float, ...]
    duration_s: float
    seed: int
    hedge_after_s: float = inf
    slow_server_count: int = 0
