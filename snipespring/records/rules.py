"""Define the rules that operators write and the configuration compiled from them.

`asked_by` says who asked for a rule; in a rules text it is the comment on the line.
"""

from math import inf

from attrs import field, frozen
from immutables import Map

from .identity import DomainName, OrganisationName, ServerId, ServiceName

__all__ = [
    "Access",
    "Configuration",
    "EjectCarefully",
    "EjectQuickly",
    "EjectionPreference",
    "StoredSegments",
    "KeyAccess",
    "KeyRule",
    "OpenAccess",
    "OrganisationRule",
    "RefusedConfiguration",
    "RouteRule",
    "Rule",
    "RouteShare",
    "RunAsUpload",
    "RunIdempotent",
    "RunOnce",
    "RunPolicy",
    "ServerRule",
    "ServiceRule",
]


@frozen(kw_only=True)
class EjectCarefully:
    """Prefer fewer false ejections to faster detection."""


@frozen(kw_only=True)
class EjectQuickly:
    """Prefer faster detection to fewer false ejections."""


EjectionPreference = EjectCarefully | EjectQuickly


@frozen(kw_only=True)
class OpenAccess:
    """Open the route to every caller."""


@frozen(kw_only=True)
class KeyAccess:
    """Require an organisation's key."""


Access = OpenAccess | KeyAccess


@frozen(kw_only=True)
class RunIdempotent:
    """Allow a request to run again after an unknown outcome.

    An attempt may take `attempt_share` of the remaining time if another can follow.
    """

    attempt_share: float = 0.5


@frozen(kw_only=True)
class RunOnce:
    """Run a request at most once."""


@frozen(kw_only=True)
class RunAsUpload:
    """Send an upload again under the same id until a backend server has stored it."""


RunPolicy = RunIdempotent | RunOnce | RunAsUpload


@frozen(kw_only=True)
class ServiceRule:
    """Set the limits of one service; `floor` is the share of servers kept in use.

    Retries stay below `retry_share` of the first attempts plus a reserve, which is
    `retry_reserve` for the whole fleet if set. A cold server tolerates `warmup_per_s`
    requests a second, 0 for any number, and the fleet sends it `cold_per_s`, None for
    no bound.
    """

    name: ServiceName
    slots: int = 3
    connections: int = 330
    floor: float = 0.7
    deadline_s: float = 2.0
    retry_share: float = 0.1
    retry_reserve: float | None = None
    warmup_per_s: float = 0.0
    cold_per_s: float | None = None
    ejection: EjectionPreference = field(factory=EjectCarefully)
    asked_by: str


@frozen(kw_only=True)
class ServerRule:
    """Assign a backend server to a service and a failure domain.

    The server is cold until the local time `warm_at_s`, as its entry of the store's
    revision `cold_revision` says. An empty `region` is unknown.
    """

    server: ServerId
    domain: DomainName
    asked_by: str
    slots: int | None = None
    warm_at_s: float = 0.0
    cold_revision: int = 0
    region: str = ""


@frozen(kw_only=True)
class RouteShare:
    """Weight a service among those that serve a route."""

    service: ServiceName
    weight: float


@frozen(kw_only=True)
class RouteRule:
    """Send requests with a method and path prefix to a service.

    A route with `shares` distributes its requests over their services instead.
    `deadline_s` bounds a request's time on the host; an answer within `objective_s`
    has the highest value; requests with a lower `priority` are served first. Only
    servers in the `regions` are used, in any region for None.
    """

    methods: tuple[str, ...]
    prefix: str
    service: ServiceName
    access: Access
    run: RunPolicy
    asked_by: str
    shares: tuple[RouteShare, ...] = ()
    deadline_s: float = inf
    objective_s: float = inf
    max_attempts: int | None = None
    priority: int = 0
    regions: frozenset[str] | None = None


@frozen(kw_only=True)
class OrganisationRule:
    """Limit the fleet-wide rate and burst of an organisation's requests.

    An infinite rate stands for no limit. A priority overrides that of its routes.
    Only servers in the `regions` are used, in any region for None.
    """

    name: OrganisationName
    rate_per_s: float
    burst: float
    asked_by: str
    priority: int | None = None
    regions: frozenset[str] | None = None


@frozen(kw_only=True)
class KeyRule:
    """Identify a key of an organisation by its SHA-256 digest in hex."""

    organisation: OrganisationName
    digest: str
    asked_by: str


Rule = ServiceRule | ServerRule | RouteRule | OrganisationRule | KeyRule


@frozen(kw_only=True)
class StoredSegments:
    """Map digests to the segments of the rules text that this host has."""

    by_digest: Map[str, bytes] = field(default=Map(), repr=False)


@frozen(kw_only=True)
class RefusedConfiguration:
    """Identify the latest configuration version without valid rules; 0 stands for none.

    `reason` says what is invalid.
    """

    version: int = 0
    reason: str = ""


@frozen(kw_only=True)
class Configuration:
    """Collect the rules of one accepted version by name; version 0 has none.

    `host_routes` contains the routes bound to a host name, longest prefix first; they
    take precedence over `routes`.
    """

    version: int = 0
    services: Map[ServiceName, ServiceRule] = Map()
    servers: Map[ServiceName, tuple[ServerRule, ...]] = Map()
    routes: Map[str, tuple[RouteRule, ...]] = Map()
    host_routes: Map[str, tuple[RouteRule, ...]] = Map()
    organisations: Map[OrganisationName, OrganisationRule] = Map()
    keys: Map[str, OrganisationName] = Map()
