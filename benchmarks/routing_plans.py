"""Describe the workloads and ways of routing that are compared."""

from math import inf

from attrs import frozen

from snipespring.records import ServiceName

__all__ = [
    "AnyServer",
    "Plan",
    "Policy",
    "Product",
    "TwoByOwn",
    "TwoByReport",
    "rate_at_use",
]

HOSTS, SERVERS, SLOTS, DOMAINS = 44, 14, 3, 3
SERVER_QUEUE = 3
SLOW_FACTOR = 5.0
SERVICE_S, SERVICE_SIGMA = 0.025, 0.5
NEAR_DELAY_S, FAR_DELAY_S = 0.00025, 0.003
DEADLINE_S, RETRY_SHARE, MAX_ATTEMPTS, QUEUE_BOUND = 1.0, 0.1, 3, 64
SERVICE = ServiceName("ledger")


@frozen(kw_only=True)
class AnyServer:
    """Send to any server."""


@frozen(kw_only=True)
class TwoByOwn:
    """Send to the one of two servers with fewer attempts of this host."""


@frozen(kw_only=True)
class TwoByReport:
    """Send to the one of two servers with fewer busy slots by its last report."""


@frozen(kw_only=True)
class Product:
    """Use the choice of the product and wait in the host's queue."""

    fair: bool = True


Policy = AnyServer | TwoByOwn | TwoByReport | Product


def rate_at_use(use: float) -> float:
    """Return the requests a second that keep this share of the slots busy."""
    return use * SERVERS * SLOTS / SERVICE_S


@frozen(kw_only=True)
class Plan:
    """Describe one run; `rates` holds requests a second by organisation."""

    policy: Policy
    rates: tuple[float, ...]
    seconds: float
    seed: int
    hedge_after_s: float = inf
    slow_servers: int = 0
