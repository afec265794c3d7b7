"""Define the reports that hosts exchange by datagrams and the state built from them."""

from attrs import frozen
from immutables import Map

from .feeds import PublishedHost, ServerChanges, ServerMark, ServerQuery
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

    `admitted` counts the requests admitted within the window of the rate limit;
    `received` counts all requests of the last half second, including refused ones.
    """

    organisation: OrganisationName
    admitted: int = 0
    received: int = 0


@frozen(kw_only=True)
class ServerAnswers:
    """Count a server's successful answers in the last two seconds."""

    instance: str
    good: int


@frozen(kw_only=True)
class HostReport:
    """Report a host's own state; `sequence` rises with each report.

    A host with `is_serving` is ready for requests and not about to stop.
    """

    host: PublishedHost
    incarnation: Incarnation
    sequence: int
    is_serving: bool
    usage: tuple[OrganisationUsage, ...] = ()
    answers: tuple[ServerAnswers, ...] = ()


@frozen(kw_only=True)
class Confirmation:
    """Describe the configuration version that the store confirmed, and its age.

    `age_s` counts from when the confirming request was sent.
    """

    version: int
    age_s: float


@frozen(kw_only=True)
class ReportDigest:
    """Answer a report with what the other hosts of the failure domain reported.

    `incarnation` and `sequence` are those of the answered report.

    `serving` lists the serving hosts of the whole fleet. `usage` excludes the
    receiver's share. `heard_hosts` counts the hosts that sent reports, including the
    receiver.
    """

    sender: HostId
    incarnation: Incarnation
    sequence: int
    serving: tuple[HostId, ...]
    heard_hosts: int
    usage: tuple[OrganisationUsage, ...] = ()
    answers: tuple[ServerAnswers, ...] = ()
    confirmation: Confirmation | None = None
    servers: ServerMark | None = None


@frozen(kw_only=True)
class OutcomeNotification:
    """Notify other hosts immediately how a request to a server ended.

    `domain` is the failure domain of the host that sent the request.
    """

    sender: HostId
    domain: DomainName
    instance: str
    is_failure: bool


@frozen(kw_only=True)
class DomainSummary:
    """Summarise the reports of one domain's hosts for another domain.

    `serving` is None if it did not change, because bandwidth between domains is
    expensive.
    """

    sender: HostId
    domain: DomainName
    serving: tuple[HostId, ...] | None
    heard_hosts: int
    usage: tuple[OrganisationUsage, ...] = ()


DomainMessage = (
    HostReport
    | ReportDigest
    | DomainSummary
    | OutcomeNotification
    | ServerQuery
    | ServerChanges
)


@frozen(kw_only=True)
class ReceivedReport:
    """Record a host's latest report and the local time at which it was received."""

    report: HostReport
    received_s: float


@frozen(kw_only=True)
class ReceivedSummary:
    """Record a domain's latest summary and the local time at which it was received."""

    summary: DomainSummary
    serving: tuple[HostId, ...]
    received_s: float


@frozen(kw_only=True)
class DomainReports:
    """Collect the reports received from this host's domain and from the others.

    `superseded` contains the last reports of earlier incarnations of restarted hosts.
    """

    by_host: Map[HostId, ReceivedReport] = Map()
    superseded: tuple[ReceivedReport, ...] = ()
    by_domain: Map[DomainName, ReceivedSummary] = Map()


@frozen(kw_only=True)
class FleetView:
    """Describe the other hosts of the fleet as this host knows them.

    `as_of_s` is the local time at which the latest part was received, None before any.
    Usage and the successful answers of servers exclude this host's share; the answers
    are those of the host's failure domain.
    """

    serving: frozenset[HostId] = frozenset()
    heard_hosts: int = 1
    usage: Map[OrganisationName, OrganisationUsage] = Map()
    answers: Map[str, int] = Map()
    as_of_s: float | None = None


@frozen(kw_only=True)
class AnswerLog:
    """List the local times of successful answers by server instance, oldest first."""

    by_instance: Map[str, tuple[float, ...]] = Map()


@frozen(kw_only=True)
class OrganisationTimes:
    """List the local times of an organisation's requests on this host, oldest first."""

    admitted_s: tuple[float, ...] = ()
    received_s: tuple[float, ...] = ()


@frozen(kw_only=True)
class UsageLog:
    """Map each organisation to the times of its requests."""

    by_organisation: Map[OrganisationName, OrganisationTimes] = Map()
