"""Decode the store's objects into the product's records, and encode hosts."""

from collections.abc import Callable, Mapping
from math import inf
from typing import Any, TypeVar

from immutables import Map

from ..decisions.keys import digest_key
from ..decisions.rules import InvalidValue, parse_address, parse_duration_s
from ..records import (
    Access,
    Address,
    Configuration,
    DomainName,
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
    "decode_host",
    "decode_server",
    "encode_host",
]

T = TypeVar("T")

ASKED_BY = "the platform's operators"
SERVER_STATES = {"ready": False, "draining": True}
HOST_FIELDS = ("Zone", "Front", "Peers")

Spec = Mapping[str, Any]


class _ForeignError(Exception):
    """Report content that is not what the platform publishes."""


def decode_server(name: str, obj: Spec) -> PublishedServer | InvalidItem:
    """Return the server that an object of kind `servers` names."""
    return _guard(lambda: _read_server(name, obj))


def decode_host(name: str, obj: Spec) -> PublishedHost | InvalidItem:
    """Return the host that an object written by `encode_host` names."""
    return _guard(lambda: _read_host(name, _spec(obj)))


def decode_configuration(obj: Spec) -> Configuration | InvalidItem:
    """Return the configuration in an object of kind `config`."""
    return _guard(lambda: _read_configuration(_spec(obj)))


def encode_host(host: PublishedHost) -> dict[str, str]:
    """Return the content of the object that names a host."""
    values = (host.domain, str(host.callers), str(host.peers))
    return dict(zip(HOST_FIELDS, values, strict=True))


def _guard(read: Callable[[], T]) -> T | InvalidItem:
    try:
        return read()
    except _ForeignError as exc:
        return InvalidItem(reason=str(exc))
    except (AttributeError, TypeError, ValueError) as exc:
        # A row of a table that is no table, or a list of another kind.
        return InvalidItem(reason=f"malformed: {exc}")


def _spec(obj: Spec) -> Spec:
    return _table(obj, "Spec")


def _read_server(name: str, obj: Spec) -> PublishedServer:
    spec = _spec(obj)
    state = _field(spec, "State", str)
    if state not in SERVER_STATES:
        raise _ForeignError(f"State: unknown state {state!r}")
    # `born` is spelled in lower case, unlike all other fields.
    born_ms = _field(spec, "born", int) if "born" in spec else 0
    return PublishedServer(
        instance=name,
        born_ms=born_ms,
        service=ServiceName(_text(spec, "Service")),
        address=_address(spec, "Address"),
        domain=DomainName(_text(spec, "Zone")),
        slots=_positive(spec, "Slots"),
        is_draining=SERVER_STATES[state],
        warmup_s=_seconds(spec, "WarmupLeft") if "WarmupLeft" in spec else 0.0,
    )


def _read_host(name: str, spec: Spec) -> PublishedHost:
    domain, callers, peers = HOST_FIELDS
    return PublishedHost(
        host_id=HostId(name),
        domain=DomainName(_text(spec, domain)),
        callers=_address(spec, callers),
        peers=_address(spec, peers),
    )


def _read_configuration(spec: Spec) -> Configuration:
    try:
        version = int(_field(spec, "Version", str), 16)
    except ValueError as exc:
        raise _ForeignError("Version: not a hexadecimal number") from exc
    tenants = spec.get("Tenants") or {}
    access: Access = KeyAccess() if tenants else OpenAccess()
    routes = [_read_route(rule, access) for rule in _table(spec, "Routes").values()]
    return Configuration(
        version=version,
        services=Map(
            {
                ServiceName(name): _read_service(name, service)
                for name, service in _table(spec, "Services").items()
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
            service=ServiceName(_text(part, "Service")),
            weight=float(_field(part, "Weight", (int, float))),
        )
        for part in rule.get("Split") or ()
    )
    service = shares[0].service if shares else ServiceName(_text(rule, "Service"))
    route = RouteRule(
        methods=("*",),
        prefix=_text(rule, "PathPrefix"),
        service=service,
        shares=shares,
        access=OpenAccess() if rule.get("AuthExempt") else access,
        run=_run_policy(_text(rule, "Kind")),
        deadline_s=_seconds(rule, "Timeout"),
        objective_s=_seconds(rule, "TargetLatency"),
        max_attempts=_positive(rule, "MaxAttempts"),
        priority=_field(rule, "Priority", int),
        asked_by=ASKED_BY,
    )
    return _text(rule, "Host"), route


def _run_policy(kind: str) -> RunPolicy:
    match kind:
        case "safe":
            # A stop must not break off what a server works on.
            return RunIdempotent(attempt_share=1.0)
        case _:
            # An unknown kind runs once, which harms nobody.
            return RunOnce()


def _read_service(name: str, service: Spec) -> ServiceRule:
    return ServiceRule(
        name=ServiceName(name),
        connections=_positive(service, "MaxConns"),
        deadline_s=inf,
        asked_by=ASKED_BY,
    )


def _read_organisation(name: str, tenant: Spec) -> OrganisationRule:
    # No rate, or a rate of 0, stands for no limit.
    rate_per_s = float(tenant.get("RatePerS") or inf)
    return OrganisationRule(
        name=OrganisationName(name),
        rate_per_s=rate_per_s,
        burst=float(tenant.get("Burst") or 0.0),
        priority=tenant.get("Priority"),
        asked_by=ASKED_BY,
    )


def _field(spec: Spec, name: str, kind: Any) -> Any:
    value = spec.get(name)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise _ForeignError(f"{name}: missing or of another type")
    return value


def _table(spec: Spec, name: str) -> Mapping[str, Any]:
    table: Mapping[str, Any] = _field(spec, name, Mapping)
    return table


def _text(spec: Spec, name: str) -> str:
    text: str = _field(spec, name, str)
    if not text:
        raise _ForeignError(f"{name}: empty")
    return text


def _positive(spec: Spec, name: str) -> int:
    number: int = _field(spec, name, int)
    if number < 1:
        raise _ForeignError(f"{name}: below 1")
    return number


def _seconds(spec: Spec, name: str) -> float:
    text = _text(spec, name)
    match parse_duration_s(text):
        case InvalidValue():
            raise _ForeignError(f"{name}: {text!r} is no duration")
        case duration_s:
            return duration_s


def _address(spec: Spec, name: str) -> Address:
    text = _text(spec, name)
    match parse_address(text):
        case InvalidValue():
            raise _ForeignError(f"{name}: {text!r} is no address")
        case address:
            return address
