"""Name the faults and the strategies that the benchmark compares."""

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
    """Time out on all work."""


@frozen(kw_only=True)
class Errors:
    """Answer a share of the work with an error."""

    share: float = 0.3


@frozen(kw_only=True)
class Slow:
    """Take several times as long."""

    factor: float = 5.0


@frozen(kw_only=True)
class Flapping:
    """Alternate between timing out and working."""

    period_s: float = 5.0


Fault = Dead | Errors | Slow | Flapping


@frozen(kw_only=True)
class Pooled:
    """Pool evidence at one holder; `policy` replaces that of the preference."""

    policy: HealthPolicy


@frozen(kw_only=True)
class ConsecutiveFailures:
    """Eject on one host after failures in a row."""

    limit: int = 5


@frozen(kw_only=True)
class WindowShare:
    """Eject on one host above an error share of a window."""

    share: float = 0.5
    window_s: float = 10.0
    min_attempts: int = 20


@frozen(kw_only=True)
class NoEjection:
    """Route at random among all servers."""


Strategy = Pooled | ConsecutiveFailures | WindowShare | NoEjection


def make_server_ids(count: int) -> tuple[ServerId, ...]:
    """Return the servers of the fake service."""
    return tuple(
        ServerId(service=SERVICE, address=Address(ip="10.0.0.1", port=n + 1))
        for n in range(count)
    )
