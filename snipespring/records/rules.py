"""Hold the rules that operators write and the configuration made of them."""

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
    """Accept slower detection for fewer false ejections."""


@frozen(kw_only=True)
class EjectQuickly:
    """Accept more false ejections for faster detection."""


EjectionPreference = EjectCarefully | EjectQuickly


@frozen(kw_only=True)
class OpenAccess:
    """Serve a route to every caller."""


@frozen(kw_only=True)
class KeyAccess:
    """Serve a route only with an organisation's key."""


Access = OpenAccess | KeyAccess


@frozen(kw_only=True)
class RunIdempotent:
    """Let a request run again after an unknown outcome.

    An attempt may take `attempt_share` of the time left if another can follow.
    """

    attempt_share: float = 0.5


@frozen(kw_only=True)
class RunOnce:
    """Run a request at most once."""


@frozen(kw_only=True)
class RunAsUpload:
    """Retry a request by its id until a backend server has stored it."""


RunPolicy = RunIdempotent | RunOnce | RunAsUpload


@frozen(kw_only=True)
class ServiceRule:
    """Set the limits of one service; `floor` is a share of its servers.

    Repeated attempts stay below `retry_share` of the first ones plus a reserve,
    `retry_reserve` for the whole fleet where it is set.
    """

    name: ServiceName
    slots: int = 3
    connections: int = 330
    floor: float = 0.7
    deadline_s: float = 2.0
    retry_share: float = 0.1
    retry_reserve: float | None = None
    ejection: EjectionPreference = field(factory=EjectCarefully)
    asked_by: str


@frozen(kw_only=True)
class ServerRule:
    """Place one backend server in a service and a failure domain.

    A server that is still cold is slow until the local time `warm_at_s`.
    """

    server: ServerId
    domain: DomainName
    asked_by: str
    slots: int | None = None
    warm_at_s: float = 0.0


@frozen(kw_only=True)
class RouteShare:
    """Give one service a part of a route's requests, in proportion to weights."""

    service: ServiceName
    weight: float


@frozen(kw_only=True)
class RouteRule:
    """Send requests with a method and path prefix to a service.

    A route with `shares` spreads its requests over their services instead.
    `deadline_s` bounds a request's time on the host; an answer within
    `objective_s` is worth most; a lower `priority` goes first.
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


@frozen(kw_only=True)
class OrganisationRule:
    """Entitle an organisation to a fleet-wide rate and burst of requests.

    An infinite rate stands for no limit; a priority goes before its routes'.
    """

    name: OrganisationName
    rate_per_s: float
    burst: float
    asked_by: str
    priority: int | None = None


@frozen(kw_only=True)
class KeyRule:
    """Admit a key, known by its SHA-256 digest in hex, for an organisation."""

    organisation: OrganisationName
    digest: str
    asked_by: str


Rule = ServiceRule | ServerRule | RouteRule | OrganisationRule | KeyRule


@frozen(kw_only=True)
class StoredSegments:
    """Hold the parts of the rules text that this host has, by digest."""

    by_digest: Map[str, bytes] = field(default=Map(), repr=False)


@frozen(kw_only=True)
class RefusedConfiguration:
    """Name the newest version that holds no valid rules; 0 stands for none."""

    version: int = 0
    reason: str = ""


@frozen(kw_only=True)
class Configuration:
    """Index the rules of one accepted version; version 0 holds none.

    `host_routes` holds the routes that are bound to a host name, longest prefix
    first; they go before `routes`.
    """

    version: int = 0
    services: Map[ServiceName, ServiceRule] = Map()
    servers: Map[ServiceName, tuple[ServerRule, ...]] = Map()
    routes: Map[str, tuple[RouteRule, ...]] = Map()
    host_routes: Map[str, tuple[RouteRule, ...]] = Map()
    organisations: Map[OrganisationName, OrganisationRule] = Map()
    keys: Map[str, OrganisationName] = Map()
