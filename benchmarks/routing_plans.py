"""Describe the workloads and ways of routing that are compared."""

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
    """Send to any server."""


@frozen(kw_only=True)
class TwoByLocalLoad:
    """Send to the one of two servers with fewer attempts of this host."""


@frozen(kw_only=True)
class TwoByReportedLoad:
    """Send to the one of two servers with fewer busy slots by its last report."""


@frozen(kw_only=True)
class ProjectRouting:
    """Use the choice of the product and wait in the host's queue."""

    fair: bool = True


Policy = RandomServer | TwoByLocalLoad | TwoByReportedLoad | ProjectRouting


def rate_at_utilisation(utilisation: float) -> float:
    """Return the requests a second that keep this share of the slots busy."""
    return utilisation * SERVERS * SLOTS / MEAN_SERVICE_S


@frozen(kw_only=True)
class Plan:
    """Describe one run; `rates_per_s` holds requests a second by organisation."""

    policy: Policy
    rates_per_s: tuple[float, ...]
    duration_s: float
    seed: int
    hedge_after_s: float = inf
    slow_server_count: int = 0
