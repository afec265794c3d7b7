"""Decode objects of the platform's store into records, and encode hosts."""

from collections.abc import Callable, Mapping
from ipaddress import IPv4Address
from math import inf, isfinite
from typing import Any, TypeVar

from immutables import Map

from ..decisions.keys import digest_key
from ..decisions.rules import InvalidValue, parse_address, parse_duration_s
from ..records import (
    Access,
    Address,
    Configuration,
    DomainName,
    Evacuation,
    HostCapacity,
    HostId,
    InvalidItem,
    KeyAccess,
    OpenAccess,
    OrganisationName,
    OrganisationRule,
    PublishedHost,
    PublishedServer,
    RouteRule,
    RouteShare,
    RunIdempotent,
    RunOnce,
    RunPolicy,
    ServiceName,
    ServiceRule,
)

__all__ = [
    "decode_configuration",
    "decode_evacuation",
    "decode_host",
    "decode_server",
    "encode_host",
]

T = TypeVar("T")

ASKED_BY = "the platform's operators"
# Whether a server in each state is draining.
SERVER_STATES = {"ready": False, "draining": True}
MAX_NUMBER = 2**53  # larger whole numbers are not exact in all JSON readers
MAX_PORT = 65535
MAX_VERSION_DIGITS = 16
HOST_FIELDS = ("Zone", "Front", "Peers", "Cores", "LinkMbps")

Spec = Mapping[str, Any]


class _InvalidContentError(Exception):
    """Signal content that does not have the platform's format."""


def decode_server(name: str, obj: Spec) -> PublishedServer | InvalidItem:
    """Return the server that an object of kind `servers` describes."""
    return _decode_or_invalid(lambda: _read_server(name, obj))


def decode_host(name: str, obj: Spec) -> PublishedHost | InvalidItem:
    """Return the host that an object written by `encode_host` describes."""
    return _decode_or_invalid(lambda: _read_host(name, _read_spec(obj)))


def decode_configuration(obj: Spec) -> Configuration | InvalidItem:
    """Return the configuration in an object of kind `config`."""
    return _decode_or_invalid(lambda: _read_configuration(_read_spec(obj)))


def decode_evacuation(name: str, obj: Spec) -> Evacuation:
    """Return the evacuation of the domain `name`, with the problem if there is one."""
    match _decode_or_invalid(lambda: _read_spec(obj)):
        case InvalidItem(reason=reason):
            return Evacuation(domain=DomainName(name), problem=reason)
        case _:
            return Evacuation(domain=DomainName(name))


def encode_host(host: PublishedHost) -> dict[str, str]:
    """Return the content of the object that describes a host."""
    values = (
        host.domain,
        str(host.callers),
        str(host.peers),
        str(host.capacity.cores),
        str(host.capacity.link_mbps),
    )
    return dict(zip(HOST_FIELDS, values, strict=True))


def _decode_or_invalid(read: Callable[[], T]) -> T | InvalidItem:
    try:
        return read()
    except _InvalidContentError as exc:
        return InvalidItem(reason=str(exc))
    except (AttributeError, OverflowError, TypeError, ValueError) as exc:
        # A table row that is no mapping, a list with items of another type, or a
        # number that no float holds.
        return InvalidItem(reason=f"malformed: {exc}")


def _read_spec(obj: Spec) -> Spec:
    return _read_table(obj, "Spec")


def _read_server(name: str, obj: Spec) -> PublishedServer:
    spec = _read_spec(obj)
    state = _read_field(spec, "State", str)
    if state not in SERVER_STATES:
        raise _InvalidContentError(f"State: unknown state {state!r}")
    # The platform spells `born` in lower case, unlike all other fields.
    born_ms = _read_count(spec, "born") if "born" in spec else 0
    return PublishedServer(
        instance=name,
        born_ms=born_ms,
        service=ServiceName(_read_text(spec, "Service")),
        address=_read_address(spec, "Address"),
        domain=DomainName(_read_text(spec, "Zone")),
        slots=_read_positive(spec, "Slots"),
        is_draining=SERVER_STATES[state],
        warmup_s=_read_duration_s(spec, "WarmupLeft") if "WarmupLeft" in spec else 0.0,
    )


def _read_host(name: str, spec: Spec) -> PublishedHost:
    domain, callers, peers, cores, link = HOST_FIELDS
    return PublishedHost(
        host_id=HostId(name),
        domain=DomainName(_read_text(spec, domain)),
        callers=_read_address(spec, callers),
        peers=_read_address(spec, peers),
        capacity=HostCapacity(
            cores=_read_capacity(spec, cores, HostCapacity().cores),
            link_mbps=_read_capacity(spec, link, HostCapacity().link_mbps),
        ),
    )


def _read_configuration(spec: Spec) -> Configuration:
    version = _read_version(spec)
    tenants = spec.get("Tenants") or {}
    access: Access = KeyAccess() if tenants else OpenAccess()
    routes = [
        _read_route(rule, access) for rule in _read_table(spec, "Routes").values()
    ]
    return Configuration(
        version=version,
        services=Map(
            {
                ServiceName(name): _read_service(name, service)
                for name, service in _read_table(spec, "Services").items()
            }
        ),
        host_routes=_index_routes(routes),
        organisations=Map(
            {
                OrganisationName(name): _read_organisation(name, tenant)
                for name, tenant in tenants.items()
            }
        ),
        keys=Map(
            {
                digest_key(key): OrganisationName(name)
                for name, tenant in tenants.items()
                for key in tenant.get("ApiKeys") or ()
            }
        ),
    )


def _read_version(spec: Spec) -> int:
    text = _read_field(spec, "Version", str)
    if len(text) > MAX_VERSION_DIGITS:
        raise _InvalidContentError(f"Version: more than {MAX_VERSION_DIGITS} digits")
    try:
        return int(text, 16)
    except ValueError as exc:
        raise _InvalidContentError("Version: not a hexadecimal number") from exc


def _index_routes(
    routes: list[tuple[str, RouteRule]],
) -> Map[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = {}
    for host, route in routes:
        by_host.setdefault(host, []).append(route)
    return Map(
        {
            host: tuple(sorted(rules, key=lambda rule: -len(rule.prefix)))
            for host, rules in by_host.items()
        }
    )


def _read_route(rule: Spec, access: Access) -> tuple[str, RouteRule]:
    shares = tuple(
        RouteShare(
            service=ServiceName(_read_text(part, "Service")),
            weight=float(_read_field(part, "Weight", (int, float))),
        )
        for part in rule.get("Split") or ()
    )
    service = shares[0].service if shares else ServiceName(_read_text(rule, "Service"))
    route = RouteRule(
        methods=("*",),
        prefix=_read_text(rule, "PathPrefix"),
        service=service,
        shares=shares,
        access=OpenAccess() if rule.get("AuthExempt") else access,
        run=_make_run_policy(_read_text(rule, "Kind")),
        deadline_s=_read_duration_s(rule, "Timeout"),
        objective_s=_read_duration_s(rule, "TargetLatency"),
        max_attempts=_read_positive(rule, "MaxAttempts"),
        priority=_read_field(rule, "Priority", int),
        regions=_read_regions(rule),
        asked_by=ASKED_BY,
    )
    return _read_text(rule, "Host"), route


def _make_run_policy(kind: str) -> RunPolicy:
    match kind:
        case "safe" | "download":
            # Let an attempt take all of the remaining time. With a shorter limit, this
            # host could cut off an attempt that a server is working on. During a
            # graceful stop there may be no retry left, and the caller would get an
            # error.
            return RunIdempotent(attempt_share=1.0)
        case _:
            # Requests of an unknown kind run at most once, which is always safe.
            return RunOnce()


def _read_service(name: str, service: Spec) -> ServiceRule:
    return ServiceRule(
        name=ServiceName(name),
        connections=_read_positive(service, "MaxConns"),
        deadline_s=inf,
        warmup_per_s=_read_rate_per_s(service, "WarmupPerS"),
        asked_by=ASKED_BY,
    )


def _read_organisation(name: str, tenant: Spec) -> OrganisationRule:
    # A missing rate or a rate of 0 means that there is no limit.
    rate_per_s = float(tenant.get("RatePerS") or inf)
    return OrganisationRule(
        name=OrganisationName(name),
        rate_per_s=rate_per_s,
        burst=float(tenant.get("Burst") or 0.0),
        priority=tenant.get("Priority"),
        regions=_read_regions(tenant),
        asked_by=ASKED_BY,
    )


def _read_field(spec: Spec, name: str, kind: Any) -> Any:
    value = spec.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise _InvalidContentError(f"{name}: missing or of the wrong type")
    return value


def _read_table(spec: Spec, name: str) -> Mapping[str, Any]:
    table: Mapping[str, Any] = _read_field(spec, name, Mapping)
    return table


def _read_text(spec: Spec, name: str) -> str:
    text: str = _read_field(spec, name, str)
    if not text:
        raise _InvalidContentError(f"{name}: empty")
    return text


def _read_count(spec: Spec, name: str) -> int:
    number: int = _read_field(spec, name, int)
    if not 0 <= number <= MAX_NUMBER:
        raise _InvalidContentError(f"{name}: not from 0 to {MAX_NUMBER}")
    return number


def _read_positive(spec: Spec, name: str) -> int:
    number = _read_count(spec, name)
    if number < 1:
        raise _InvalidContentError(f"{name}: below 1")
    return number


def _read_capacity(spec: Spec, name: str, default: float) -> float:
    number = float(spec.get(name, default))
    if not (isfinite(number) and number > 0.0):
        raise _InvalidContentError(f"{name}: {number:g} is not a positive number")
    return number


def _read_regions(spec: Spec) -> frozenset[str] | None:
    """Return the allowed regions, None if the list is absent or empty."""
    names = spec.get("AllowedRegions") or None
    if names is None:
        return None
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise _InvalidContentError("AllowedRegions: not a list of names")
    return frozenset(names)


def _read_rate_per_s(spec: Spec, name: str) -> float:
    """Return a rate, 0 if it is absent."""
    rate_per_s = float(spec.get(name) or 0.0)
    if not (isfinite(rate_per_s) and rate_per_s >= 0.0):
        raise _InvalidContentError(f"{name}: {rate_per_s:g} is not a rate")
    return rate_per_s


def _read_duration_s(spec: Spec, name: str) -> float:
    text = _read_text(spec, name)
    match parse_duration_s(text):
        case float() as duration_s if isfinite(duration_s):
            return duration_s
        case _:
            raise _InvalidContentError(f"{name}: {text!r} is not a duration")


def _read_address(spec: Spec, name: str) -> Address:
    text = _read_text(spec, name)
    match parse_address(text):
        case InvalidValue():
            raise _InvalidContentError(f"{name}: {text!r} is not an address")
        case Address(ip=ip, port=port) as address:
            IPv4Address(ip)
            if not 1 <= port <= MAX_PORT:
                raise _InvalidContentError(f"{name}: port {port} is out of range")
            return address
