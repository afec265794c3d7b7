"""Choose which servers each host uses, without messages between hosts."""

from collections.abc import Iterable
from itertools import zip_longest

import xxhash

from ...records import (
    DomainName,
    Host,
    HostId,
    Roster,
    ServerId,
    ServerRule,
    ServerSubset,
    ServiceRule,
    SubsetMember,
)

__all__ = ["choose_subset", "order_hosts"]

# Share of a server's connections to distribute over the hosts of the roster; the rest
# is reserved for hosts that still use an older roster.
CONNECTION_SHARE = 0.9
# Share of the distributed connections for hosts in the server's failure domain.
NEAR_SHARE = 0.5


def order_hosts(roster: Roster) -> tuple[Host, ...]:
    """Return the roster's hosts in their order on the rings."""

    def position(host: Host) -> int:
        return xxhash.xxh3_64_intdigest(host.host_id.encode())

    return tuple(sorted(roster.hosts.values(), key=position))


def choose_subset(
    service: ServiceRule,
    servers: tuple[ServerRule, ...],
    hosts: tuple[Host, ...],
    own_host: Host,
    *,
    previous: ServerSubset | None,
    now_s: float,
) -> ServerSubset:
    """Return the servers that `own_host` uses.

    `hosts` has to be in the order of `order_hosts`.
    """
    per_server = int(service.connections * CONNECTION_SHARE)
    cap = min(service.slots, per_server // max(1, len(hosts)))
    if cap >= 1:
        rules: tuple[ServerRule, ...] = servers
    else:
        cap = 1
        rules = _choose_from_rings(servers, hosts, own_host, per_server)
    members = _set_join_times(rules, previous, now_s)
    return ServerSubset(
        service=service.name, members=members, slots=service.slots, in_flight_cap=cap
    )


def _choose_from_rings(
    servers: tuple[ServerRule, ...],
    hosts: tuple[Host, ...],
    own_host: Host,
    per_server: int,
) -> tuple[ServerRule, ...]:
    near_connections = int(per_server * NEAR_SHARE)
    near_servers = sorted(
        (rule for rule in servers if rule.domain == own_host.domain), key=_server_of
    )
    near_hosts = [host for host in hosts if host.domain == own_host.domain]
    near_window = _select_window(
        near_servers, near_hosts, own_host.host_id, near_connections
    )
    ring = _alternate_domains(servers)
    wide_window = _select_window(
        ring, hosts, own_host.host_id, per_server - near_connections
    )
    chosen = {rule.server for rule in (*near_window, *wide_window)}
    return tuple(rule for rule in servers if rule.server in chosen)


def _select_window(
    ring: list[ServerRule], hosts: Iterable[Host], own_id: HostId, per_server: int
) -> list[ServerRule]:
    """Return consecutive servers; the host's rank determines the first one."""
    ids = [host.host_id for host in hosts]
    if own_id not in ids or not ring:
        return ring[:1]
    width = min(len(ring), max(1, per_server * len(ring) // len(ids)))
    start = ids.index(own_id) * len(ring) // len(ids)
    return [ring[(start + step) % len(ring)] for step in range(width)]


def _alternate_domains(servers: Iterable[ServerRule]) -> list[ServerRule]:
    by_domain: dict[DomainName, list[ServerRule]] = {}
    for rule in sorted(servers, key=_server_of):
        by_domain.setdefault(rule.domain, []).append(rule)
    rows = zip_longest(*(by_domain[domain] for domain in sorted(by_domain)))
    return [rule for row in rows for rule in row if rule is not None]


def _set_join_times(
    rules: tuple[ServerRule, ...], previous: ServerSubset | None, now_s: float
) -> tuple[SubsetMember, ...]:
    known = (
        {}
        if previous is None
        else {member.rule.server: member.since_s for member in previous.members}
    )
    joined_s = now_s if known else 0.0
    return tuple(
        SubsetMember(rule=rule, since_s=known.get(rule.server, joined_s))
        for rule in rules
    )


def _server_of(rule: ServerRule) -> ServerId:
    return rule.server
