"""Define the messages that pool evidence and distribute ejection lists."""

from attrs import frozen

from .health import Histogram, OutcomeCounts
from .identity import DomainName, HostId, Incarnation, ServerId, ServiceName

__all__ = [
    "EjectedServer",
    "EjectionList",
    "EvidenceReport",
    "HealthMessage",
    "ServerReport",
    "TrialServer",
]


@frozen(kw_only=True)
class ServerReport:
    """Report evidence about one server.

    `under_way` counts the attempts that have not ended, by their age.
    """

    server: ServerId
    counts: OutcomeCounts
    under_way: Histogram
    draining: bool = False


@frozen(kw_only=True)
class EvidenceReport:
    """Report a host's evidence about a service; counts are cumulative.

    Servers that did not change since the last answered report are omitted, unless the
    report is complete.
    """

    sender: HostId
    incarnation: Incarnation
    sequence: int
    domain: DomainName
    service: ServiceName
    servers: tuple[ServerReport, ...]
    complete: bool = True


@frozen(kw_only=True)
class EjectedServer:
    """Describe an ejected server and the evidence against it."""

    server: ServerId
    reason: str


@frozen(kw_only=True)
class TrialServer:
    """Describe a server on trial and its share of requests."""

    server: ServerId
    share: float
    reason: str


@frozen(kw_only=True)
class EjectionList:
    """Answer a report; `valid_s` counts from the time at which the report was sent.

    An answer whose duration is in `slow_bucket` or a later one counts as a failure.
    `wants_complete` asks for a complete report because no earlier one is known.
    """

    service: ServiceName
    valid_s: float
    slow_bucket: int
    ejected: tuple[EjectedServer, ...] = ()
    on_trial: tuple[TrialServer, ...] = ()
    wants_complete: bool = False


HealthMessage = EvidenceReport | EjectionList
