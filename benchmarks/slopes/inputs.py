"""Make rules, rosters and statuses of any size."""

import hashlib
from collections.abc import Iterator

from immutables import Map

from snipespring.decisions.rules import (
    ParsedRules,
    make_configuration,
    parse_rules,
)
from snipespring.records import (
    Address,
    Configuration,
    DomainName,
    Host,
    HostId,
    HostStatus,
    HostStatuses,
    HostView,
    Incarnation,
    Roster,
    Versions,
)

__all__ = [
    "make_rules_configuration",
    "make_rules_text",
    "make_roster",
    "make_statuses",
]

DOMAINS = 6
SERVERS_PER_SERVICE = 15


def make_rules_text(*, routes: int, organisations: int, servers: int) -> bytes:
    """Return a rules file with that many routes, organisations and servers."""
    services = max(1, servers // SERVERS_PER_SERVICE)
    lines = [f"service s{n}  # bench" for n in range(services)]
    lines += list(_make_server_lines(servers, services))
    lines += [
        f"route GET /p{n % 500}/r{n} service=s{n % services}  # bench"
        for n in range(routes)
    ]
    lines += list(_make_organisation_lines(organisations))
    return ("\n".join(lines) + "\n").encode()


def make_rules_configuration(
    *, routes: int, organisations: int, servers: int
) -> Configuration:
    """Return the configuration of such a rules file."""
    text = make_rules_text(routes=routes, organisations=organisations, servers=servers)
    parsed = parse_rules(text)
    if not isinstance(parsed, ParsedRules):
        raise ValueError("the made rules do not parse")
    return make_configuration(tuple(placed.rule for placed in parsed.rules), 1)


def make_roster(hosts: int) -> Roster:
    """Return a roster with that many hosts in six failure domains."""
    return Roster(
        version=hosts, hosts=Map({HostId(f"h{n}"): _make_host(n) for n in range(hosts)})
    )


def make_statuses(hosts: int) -> HostStatuses:
    """Return a fresh status of each of that many hosts."""
    views = {HostId(f"h{n}"): _make_view(n, hosts) for n in range(hosts)}
    return HostStatuses(by_host=Map(views))


def _make_server_lines(servers: int, services: int) -> Iterator[str]:
    for n in range(servers):
        address = f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:9001"
        yield f"server s{n % services} {address} domain=d{n % DOMAINS}  # bench"


def _make_organisation_lines(organisations: int) -> Iterator[str]:
    for n in range(organisations):
        digest = hashlib.sha256(str(n).encode()).hexdigest()
        yield f"organisation o{n} rate=50/s burst=100  # bench"
        yield f"key o{n} sha256:{digest}  # bench"


def _make_host(n: int) -> Host:
    ip = f"10.200.{n // 256}.{n % 256}"
    return Host(
        host_id=HostId(f"h{n}"),
        incarnation=Incarnation(f"{n:013d}-abcdef01"),
        domain=DomainName(f"d{n % DOMAINS}"),
        callers=Address(ip=ip, port=8080),
        peers=Address(ip=ip, port=7400),
        operators=Address(ip=ip, port=9100),
    )


def _make_view(n: int, hosts: int) -> HostView:
    status = HostStatus(
        host_id=HostId(f"h{n}"),
        incarnation=Incarnation(f"{n:013d}-abcdef01"),
        sequence=7,
        versions=Versions(configuration=1, roster=hosts),
    )
    return HostView(status=status, as_of_s=999.0)
