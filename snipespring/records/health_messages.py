"""Hold the messages that pool evidence and spread ejection lists."""

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
    """State a host's evidence of one server; `under_way` holds ages of attempts."""

    server: ServerId
    counts: OutcomeCounts
    under_way: Histogram
    draining: bool = False


@frozen(kw_only=True)
class EvidenceReport:
    """State a host's evidence of a service; counts are cumulative.

    Servers that did not change since the last answered report are left out,
    unless the report is complete.
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
    """Name an ejected server and the evidence against it."""

    server: ServerId
    reason: str


@frozen(kw_only=True)
class TrialServer:
    """Name a server on trial and its share of work."""

    server: ServerId
    share: float
    reason: str


@frozen(kw_only=True)
class EjectionList:
    """Answer a report; `valid_s` counts from the moment the report was sent.

    `wants_complete` asks for a complete report, for want of an earlier one.
    """

    service: ServiceName
    valid_s: float
    slow_bucket: int
    ejected: tuple[EjectedServer, ...] = ()
    on_trial: tuple[TrialServer, ...] = ()
    wants_complete: bool = False


HealthMessage = EvidenceReport | EjectionList
