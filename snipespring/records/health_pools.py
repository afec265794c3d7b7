"""Define the pooled evidence about services and the ejections decided from it."""

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
    """Set the error rates of the statistical tests and the durations of ejections.

    `ejection_score` is the logarithm of the number of attempts per false alarm at the
    baseline failure ratio.
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
    """Count good and bad attempts; decayed tallies contain fractions."""

    good: float = 0.0
    bad: float = 0.0


@frozen(kw_only=True)
class Reporter:
    """Record the latest report of one host, from which the next one is subtracted."""

    incarnation: Incarnation
    sequence: int
    domain: DomainName
    received_s: float
    servers: Map[ServerId, ServerReport] = Map()


@frozen(kw_only=True)
class PooledServer:
    """Pool the evidence of all reporting hosts about one server.

    `fresh` contains what was received since the last evaluation, `suspicion` what was
    received since the score rose from 0. `recent` decays over seconds, `past` over
    minutes. `unreachable_s` and `answered_s` are the local times of the last report
    of a failed connection and of a good answer.
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
    """Eject a server until `until_s`; `count` numbers its ejections."""

    reason: str
    since_s: float
    until_s: float
    count: int


@frozen(kw_only=True)
class ActiveTrial:
    """Allow a server a share of requests to show that it has recovered.

    `stage` is the index of the share and `count` the number of ejections.
    """

    reason: str
    stage: int
    since_s: float
    stage_since_s: float
    count: int
    score: float = 0.0


EjectionEntry = ActiveEjection | ActiveTrial


@frozen(kw_only=True)
class PastEjection:
    """Record the last ejection of a server, so that its next one lasts longer.

    `ended_s` is the local time at which the server returned to its full share.
    """

    ended_s: float
    count: int


@frozen(kw_only=True)
class Tenure:
    """Record since which roster version this host maintains a service's ejection list.

    The tenure ends at `lease_until_s` unless the host renews its lease before.
    """

    version: int
    lease_until_s: float


@frozen(kw_only=True)
class EvidencePool:
    """Collect the pooled evidence and the ejections of one service.

    `durations` is the decaying number of answers by bucket of duration; an answer in
    `slow_bucket` or a later one counts as a failure. `freed_s` contains the times at
    which ejections ended whose copies on other hosts may still be in force.
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
    """List the pools of the services whose ejection list this host maintains."""

    by_service: Map[ServiceName, EvidencePool] = Map()


@frozen(kw_only=True)
class EjectionListCopy:
    """Copy a service's ejection list, in force until a local time."""

    until_s: float
    slow_bucket: int
    ejected: tuple[EjectedServer, ...] = ()
    on_trial: tuple[TrialServer, ...] = ()


@frozen(kw_only=True)
class EjectionListCopies:
    """Map each service to the copy of its ejection list."""

    by_service: Map[ServiceName, EjectionListCopy] = Map()


@frozen(kw_only=True)
class Avoidance:
    """Avoid a server on this host until a local time."""

    until_s: float
    reason: str


@frozen(kw_only=True)
class LocalHealth:
    """Describe this host's evaluation of its paths to servers."""

    pools: Map[ServiceName, EvidencePool] = Map()
    avoided: Map[ServerId, Avoidance] = Map()
