"""Build rosters for tests."""

from immutables import Map

from snipespring.records import (
    Address,
    DomainName,
    Host,
    HostId,
    Incarnation,
    Roster,
)

DOMAINS = 3


def make_roster(numbers: range, version: int = 1) -> Roster:
    hosts = {}
    for number in numbers:
        address = Address(ip="127.0.0.1", port=number)
        host = Host(
            host_id=HostId(f"host-{number}"),
            incarnation=Incarnation("1"),
            domain=DomainName(f"domain-{number % DOMAINS}"),
            callers=address,
            peers=address,
            operators=address,
        )
        hosts[host.host_id] = host
    return Roster(version=version, hosts=Map(hosts))
