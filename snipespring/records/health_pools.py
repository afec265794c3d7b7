"""Hold the pooled evidence about a service and the ejections decided from it."""

from attrs import frozen
from immutables import Map

from .health_messages import EjectedServer, ServerReport, TrialServer
from .identity import DomainName, HostId, Incarnation, ServerId, ServiceName

__all__ = [
    "Avoidance",
    "EjectionEntry",
    "ActiveEjection",
    "HealthPolicy",
    "EjectionListCopy",
    "EjectionListCopies",
    "LocalHealth",
    "EvidencePool",
    "EvidencePools",
    "PooledServer",
    "Reporter",
    "PastEjection",
    "Tally",
    "Tenure",
    "ActiveTrial",
]


@frozen(kw_only=True)
class HealthPolicy:
    """Set the error rates of the tests and the times of recovery.

    `ejection_score` is the log of attempts per false alarm at the base share.
    """

    ejection_score: float
    min_baseline_failure_ratio: float
    min_unhealthy_failure_ratio: float
    unhealthy_odds_ratio: float
    base_ejection_s: float
    max_ejection_s: float
    trial_shares: tuple[float, ...]


@frozen(kw_only=True)
class Tally:
    """Count good and bad attempts; decayed tallies hold fractions."""

    good: float = 0.0
    bad: float = 0.0


@frozen(kw_only=True)
class Reporter:
    """Hold the latest report of one host, the base of the next difference."""

    incarnation: Incarnation
    sequence: int
    domain: DomainName
    received_s: float
    servers: Map[ServerId, ServerReport] = Map()


@frozen(kw_only=True)
class PooledServer:
    """Hold what all reporters say of one server.

    `fresh` came since the last judgement, `suspicion` since the score rose
    from 0; `recent` and `past` decay over seconds and minutes.
    """

    fresh: Map[HostId, Tally] = Map()
    suspicion: Map[HostId, Tally] = Map()
    recent: Tally = Tally()
    past: Tally = Tally()
    score: float = 0.0
    baseline_failure_ratio: float = 0.0
    unreachable_s: float = float("-inf")
    answered_s: float = float("-inf")


@frozen(kw_only=True)
class ActiveEjection:
    """Keep a server out until its hold ends; `count` numbers its ejections."""

    reason: str
    since_s: float
    until_s: float
    count: int


@frozen(kw_only=True)
class ActiveTrial:
    """Let a server prove itself with a share of work."""

    reason: str
    stage: int
    since_s: float
    stage_since_s: float
    count: int
    score: float = 0.0


EjectionEntry = ActiveEjection | ActiveTrial


@frozen(kw_only=True)
class PastEjection:
    """Remember a server's return, so that its next ejection lasts longer."""

    ended_s: float
    count: int


@frozen(kw_only=True)
class Tenure:
    """Hold the roster version since which this host keeps a service's list.

    It ends when the lease ends at `lease_until_s` without being renewed.
    """

    version: int
    lease_until_s: float


@frozen(kw_only=True)
class EvidencePool:
    """Hold the pooled evidence and the ejections of one service.

    `freed_s` holds when places were freed whose copies may still be in force.
    """

    tenure: Tenure
    reporters: Map[HostId, Reporter] = Map()
    servers: Map[ServerId, PooledServer] = Map()
    durations: tuple[float, ...] = ()
    slow_bucket: int
    evaluated_s: float
    entries: Map[ServerId, EjectionEntry] = Map()
    freed_s: Map[ServerId, float] = Map()
    past_ejections: Map[ServerId, PastEjection] = Map()


@frozen(kw_only=True)
class EvidencePools:
    """Hold the pools of the services whose list this host keeps."""

    by_service: Map[ServiceName, EvidencePool] = Map()


@frozen(kw_only=True)
class EjectionListCopy:
    """Hold a copy of a service's ejection list, in force until a local time."""

    until_s: float
    slow_bucket: int
    ejected: tuple[EjectedServer, ...] = ()
    on_trial: tuple[TrialServer, ...] = ()


@frozen(kw_only=True)
class EjectionListCopies:
    """Hold the copies of all services' ejection lists."""

    by_service: Map[ServiceName, EjectionListCopy] = Map()


@frozen(kw_only=True)
class Avoidance:
    """Avoid a server on this host until a local time."""

    until_s: float
    reason: str


@frozen(kw_only=True)
class LocalHealth:
    """Hold this host's own judgement of the paths to servers."""

    pools: Map[ServiceName, EvidencePool] = Map()
    avoided: Map[ServerId, Avoidance] = Map()
