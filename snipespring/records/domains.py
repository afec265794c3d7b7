"""Hold what the hosts of the fleet tell each other by datagrams."""

from attrs import frozen
from immutables import Map

from .feeds import PublishedHost
from .identity import DomainName, HostId, Incarnation, OrganisationName

__all__ = [
    "AnswerLog",
    "Confirmation",
    "DomainReports",
    "DomainSummary",
    "FleetView",
    "ReceivedReport",
    "ReceivedSummary",
    "HostReport",
    "OrganisationTimes",
    "OrganisationUsage",
    "ReportDigest",
    "ServerAnswers",
    "OutcomeNotification",
    "UsageLog",
    "DomainMessage",
]


@frozen(kw_only=True)
class OrganisationUsage:
    """Count an organisation's requests.

    `admitted` counts those within the limit's window, `received` all those of the
    last half second, refused ones too.
    """

    organisation: OrganisationName
    admitted: int = 0
    received: int = 0


@frozen(kw_only=True)
class ServerAnswers:
    """Count the good answers of a server within the last two seconds."""

    instance: str
    good: int


@frozen(kw_only=True)
class HostReport:
    """State what one host knows of itself; `sequence` rises with each report.

    A host that `is_serving` is ready for requests and not about to stop.
    """

    host: PublishedHost
    incarnation: Incarnation
    sequence: int
    is_serving: bool
    usage: tuple[OrganisationUsage, ...] = ()
    answers: tuple[ServerAnswers, ...] = ()


@frozen(kw_only=True)
class Confirmation:
    """State which configuration the store holds, and how old that knowledge is.

    The age counts from when the confirming question was sent.
    """

    version: int
    age_s: float


@frozen(kw_only=True)
class ReportDigest:
    """Answer a report with what the others in the failure domain reported.

    `incarnation` and `sequence` are the report's.

    `serving` lists the hosts of the whole fleet that serve, `usage` leaves out
    the receiver's own part. `heard_hosts` counts the hosts heard, the receiver
    included.
    """

    sender: HostId
    incarnation: Incarnation
    sequence: int
    serving: tuple[HostId, ...]
    heard_hosts: int
    usage: tuple[OrganisationUsage, ...] = ()
    answers: tuple[ServerAnswers, ...] = ()
    confirmation: Confirmation | None = None


@frozen(kw_only=True)
class OutcomeNotification:
    """Tell other hosts at once how real work on a server ended.

    `domain` is that of the host on which it ended.
    """

    sender: HostId
    domain: DomainName
    instance: str
    is_failure: bool


@frozen(kw_only=True)
class DomainSummary:
    """State what the hosts of one failure domain reported, for another one.

    Bytes between domains are dear: `serving` is None where it did not change.
    """

    sender: HostId
    domain: DomainName
    serving: tuple[HostId, ...] | None
    heard_hosts: int
    usage: tuple[OrganisationUsage, ...] = ()


DomainMessage = HostReport | ReportDigest | DomainSummary | OutcomeNotification


@frozen(kw_only=True)
class ReceivedReport:
    """Hold a host's newest report and the local time at which it came."""

    report: HostReport
    received_s: float


@frozen(kw_only=True)
class ReceivedSummary:
    """Hold a domain's newest summary and the local time at which it came."""

    summary: DomainSummary
    serving: tuple[HostId, ...]
    received_s: float


@frozen(kw_only=True)
class DomainReports:
    """Hold what this host heard of its own domain and of the others.

    `superseded` holds the last reports of processes whose hosts started anew.
    """

    by_host: Map[HostId, ReceivedReport] = Map()
    superseded: tuple[ReceivedReport, ...] = ()
    by_domain: Map[DomainName, ReceivedSummary] = Map()


@frozen(kw_only=True)
class FleetView:
    """Hold this host's view of the others.

    `as_of_s` is the local time at which the newest part came, None before any.
    Usage leaves out this host's own part, and so do the good answers of servers,
    which are those of the host's own failure domain.
    """

    serving: frozenset[HostId] = frozenset()
    heard_hosts: int = 1
    usage: Map[OrganisationName, OrganisationUsage] = Map()
    answers: Map[str, int] = Map()
    as_of_s: float | None = None


@frozen(kw_only=True)
class AnswerLog:
    """Hold the local times of good answers by server instance, oldest first."""

    by_instance: Map[str, tuple[float, ...]] = Map()


@frozen(kw_only=True)
class OrganisationTimes:
    """Hold the local times of an organisation's requests here, oldest first."""

    admitted_s: tuple[float, ...] = ()
    received_s: tuple[float, ...] = ()


@frozen(kw_only=True)
class UsageLog:
    """Hold the times of requests by organisation."""

    by_organisation: Map[OrganisationName, OrganisationTimes] = Map()
