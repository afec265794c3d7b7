"""Define the faults and the ejection strategies that the benchmark compares."""

from attrs import frozen

from snipespring.records import Address, HealthPolicy, ServerId, ServiceName

__all__ = [
    "ConsecutiveFailures",
    "Dead",
    "Errors",
    "Fault",
    "Flapping",
    "NoEjection",
    "Pooled",
    "SERVICE",
    "Slow",
    "Strategy",
    "WindowShare",
    "make_server_ids",
]

SERVICE = ServiceName("service")


@frozen(kw_only=True)
class Dead:
    """Never answer."""


@frozen(kw_only=True)
class Errors:
    """Answer a fraction of the attempts with an error."""

    share: float = 0.3


@frozen(kw_only=True)
class Slow:
    """Take several times as long for each attempt."""

    factor: float = 5.0


@frozen(kw_only=True)
class Flapping:
    """Alternate between not answering and working, for one period each."""

    period_s: float = 5.0


Fault = Dead | Errors | Slow | Flapping


@frozen(kw_only=True)
class Pooled:
    """Pool the evidence of all hosts at one host and evaluate it by `policy`."""

    policy: HealthPolicy


@frozen(kw_only=True)
class ConsecutiveFailures:
    """Eject on one host after `limit` consecutive failures."""

    limit: int = 5


@frozen(kw_only=True)
class WindowShare:
    """Eject on one host from a given failure ratio within a sliding window."""

    share: float = 0.5
    window_s: float = 10.0
    min_attempts: int = 20


@frozen(kw_only=True)
class NoEjection:
    """Eject no server and route at random."""


Strategy = Pooled | ConsecutiveFailures | WindowShare | NoEjection


def make_server_ids(count: int) -> tuple[ServerId, ...]:
    """Return the identifiers of the simulated servers."""
    return tuple(
        ServerId(service=SERVICE, address=Address(ip="10.0.0.1", port=n + 1))
        for n in range(count)
    )
