"""Define the reports that hosts exchange by datagrams and the state built from them."""

from attrs import frozen
from immutables import Map

from .demand import ServiceDemand
from .feeds import PublishedHost, ServerChanges, ServerMark, ServerQuery
from .identity import DomainName, HostId, Incarnation, OrganisationName, ServiceName
from .limits import OverLimit
from .places import EvacuationMark

__all__ = [
    "AdmissionAnswer",
    "AdmissionQuery",
    "Grant",
    "GrantLog",
    "HubTenure",
    "OrganisationGrants",
    "PeakUse",
    "QueriedUsage",
    "AnswerLog",
    "Confirmation",
    "DomainHubs",
    "DomainReports",
    "DomainState",
    "DomainSummary",
    "FleetView",
    "ReceivedReport",
    "ReceivedSummary",
    "HostReport",
    "HubState",
    "OrganisationTimes",
    "OrganisationUsage",
    "ReportDigest",
    "ServerAnswers",
    "StateRequest",
    "OutcomeBatch",
    "OutcomeNotification",
    "PendingOutcomes",
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
class StateRequest:
    """Ask a hub for the state of the fleet.

    `serving_version` is that of the list of serving hosts that is known, 0 for none.
    """

    serving_version: int = 0
    wants_answers: bool = True


@frozen(kw_only=True)
class HostReport:
    """Report a host's own state; `sequence` rises with each report.

    A host with `is_serving` is ready for requests and not about to stop. Without a
    `request`, the digest only confirms the report. `configuration` is the newest
    configuration version that the host knows.
    """

    host: PublishedHost
    incarnation: Incarnation
    sequence: int
    is_serving: bool
    usage: tuple[OrganisationUsage, ...] = ()
    answers: tuple[ServerAnswers, ...] = ()
    request: StateRequest | None = None
    demand: tuple[ServiceDemand, ...] = ()
    configuration: int = 0


@frozen(kw_only=True)
class Confirmation:
    """Describe the configuration version that the store confirmed, and its age.

    `age_s` counts from when the confirming request was sent, `reached_age_s` from when
    the latest request was sent that the store answered. With `is_store_behind`, a
    restore has lost the version. `stated_version` is the newest version that any host
    stated to the sender.
    """

    version: int
    age_s: float
    reached_age_s: float
    is_store_behind: bool = False
    stated_version: int = 0


@frozen(kw_only=True)
class DomainState:
    """Describe the fleet as a hub knows it, the same for all hosts of its domain.

    `serving` lists the serving hosts of the whole fleet, and is None for a receiver
    that knows the list of this `serving_version`. `answers` are those of the failure
    domain, None for a receiver that did not ask for them. `heard_hosts` counts the
    hosts that sent reports.
    """

    heard_hosts: int
    serving_version: int
    serving: tuple[HostId, ...] | None
    usage: tuple[OrganisationUsage, ...]
    answers: tuple[ServerAnswers, ...] | None
    demand: tuple[ServiceDemand, ...] = ()


@frozen(kw_only=True)
class ReportDigest:
    """Answer a report with the state of the fleet, if the report asks for it.

    `incarnation` and `sequence` are those of the answered report. The sums in `state`
    include the receiver's report number `included_sequence`, or none of its reports.
    Without `evacuations`, the sender knows of no evacuated domain.
    """

    sender: HostId
    incarnation: Incarnation
    sequence: int
    included_sequence: int | None = None
    state: DomainState | None = None
    confirmation: Confirmation | None = None
    servers: ServerMark | None = None
    evacuations: EvacuationMark | None = None


@frozen(kw_only=True)
class OutcomeNotification:
    """Notify other hosts immediately how a request to a server ended.

    `domain` is the failure domain of the host that sent the request. A failure that
    `is_idle_shed` is a refusal by a server with free slots.
    """

    sender: HostId
    domain: DomainName
    instance: str
    is_failure: bool
    is_idle_shed: bool = False


@frozen(kw_only=True)
class OutcomeBatch:
    """Send outcomes on together, as the hub of a large domain does.

    `domain` is the failure domain of the sender.
    """

    sender: HostId
    domain: DomainName
    outcomes: tuple[OutcomeNotification, ...]


@frozen(kw_only=True)
class PendingOutcomes:
    """List the outcomes that this host has yet to send on, oldest first."""

    outcomes: tuple[OutcomeNotification, ...] = ()


@frozen(kw_only=True)
class DomainHubs:
    """List the hubs of this host's failure domain, the first one first."""

    hubs: tuple[PublishedHost, ...] = ()


@frozen(kw_only=True)
class DomainSummary:
    """Summarise the reports of one domain's hosts for another domain.

    `serving` is None if it did not change, because bandwidth between domains is
    expensive. The sender has had reports for `reported_s` seconds; None stands for at
    least a window of the rate limits. `configuration` is the newest configuration
    version that the sender knows.
    """

    sender: HostId
    domain: DomainName
    serving: tuple[HostId, ...] | None
    heard_hosts: int
    usage: tuple[OrganisationUsage, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()
    reported_s: float | None = None
    configuration: int = 0


@frozen(kw_only=True)
class AdmissionQuery:
    """Ask the first hub of the sender's domain to admit one request.

    `usage` is that of the sending host at this moment, without this admission. A
    lower `priority` is more urgent.
    """

    sender: HostId
    incarnation: Incarnation
    number: int
    usage: OrganisationUsage
    priority: int = 0


@frozen(kw_only=True)
class AdmissionAnswer:
    """Answer the query of this `incarnation` and `number`.

    Without a `refusal` the request is admitted, unless the hub did not decide.
    """

    sender: HostId
    incarnation: Incarnation
    number: int
    is_decided: bool = True
    refusal: OverLimit | None = None


DomainMessage = (
    HostReport
    | ReportDigest
    | DomainSummary
    | OutcomeNotification
    | ServerQuery
    | ServerChanges
    | OutcomeBatch
    | AdmissionQuery
    | AdmissionAnswer
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
class HubState:
    """Hold the state that a hub gives to the hosts of its domain.

    `included` maps each host to its report that the sums include; `as_of_s` is the
    local time of the sums, None before any.
    """

    state: DomainState | None = None
    included: Map[HostId, HostReport] = Map()
    as_of_s: float | None = None


@frozen(kw_only=True)
class FleetView:
    """Describe the other hosts of the fleet as this host knows them.

    `as_of_s` is the local time at which the latest part was received, None before any,
    and `answers_as_of_s` that of the answers. `serving_version` identifies the list of
    serving hosts. Usage, demand and the successful answers of servers exclude this
    host's share; the answers are those of the host's failure domain.
    """

    serving: frozenset[HostId] = frozenset()
    heard_hosts: int = 1
    usage: Map[OrganisationName, OrganisationUsage] = Map()
    answers: Map[str, int] = Map()
    as_of_s: float | None = None
    serving_version: int = 0
    answers_as_of_s: float | None = None
    demand: Map[ServiceName, ServiceDemand] = Map()


@frozen(kw_only=True)
class AnswerLog:
    """List the local times of outcomes of one kind by server instance, oldest first."""

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


@frozen(kw_only=True)
class Grant:
    """Record an admission that a hub granted, and the local time of the grant."""

    host_id: HostId
    incarnation: Incarnation
    number: int
    at_s: float


@frozen(kw_only=True)
class QueriedUsage:
    """Record the usage that a host stated in its latest query."""

    incarnation: Incarnation
    admitted: int
    received: int
    at_s: float


@frozen(kw_only=True)
class PeakUse:
    """Record the admissions of a domain in the window, at a local time."""

    admitted: int
    at_s: float


@frozen(kw_only=True)
class OrganisationGrants:
    """Record what a hub decided for one organisation, oldest grants first.

    `asked_s` is the local time of the latest query. Since `high_since_s` the known
    use has been so high that all hosts ask; it is None while they may not.
    `by_priority` maps each priority to the local time of its latest query, and
    `peaks` each other domain to its highest use, aged at an even rate.
    """

    granted: tuple[Grant, ...] = ()
    queried: Map[HostId, QueriedUsage] = Map()
    by_priority: Map[int, float] = Map()
    peaks: Map[DomainName, PeakUse] = Map()
    asked_s: float | None = None
    high_since_s: float | None = None


@frozen(kw_only=True)
class GrantLog:
    """Map each organisation to the decisions of this hub."""

    by_organisation: Map[OrganisationName, OrganisationGrants] = Map()


@frozen(kw_only=True)
class HubTenure:
    """Tell since when this host has been the first hub, and when it last checked.

    `since_s` is None while another host is the first hub. Reports of the domain have
    arrived since `hub_since_s`, when this host became any hub.
    """

    since_s: float | None = None
    hub_since_s: float | None = None
    checked_s: float | None = None
