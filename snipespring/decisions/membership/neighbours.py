"""Choose the hosts that each host pulls from."""

from collections.abc import Iterable, Iterator
from itertools import zip_longest

import xxhash

from ...records import DomainName, Host, Roster
from .placement import rank_hosts

__all__ = ["choose_neighbours"]


def choose_neighbours(roster: Roster, host: Host, fanout: int) -> list[Host]:
    """Return the hosts that a host pulls from, in as many domains as possible.

    The first is the next host on a hash ring, so that at least one host pulls from
    each; the others follow the host's own ranking and alternate between domains.
    """
    others = [
        other for other in roster.hosts.values() if not _is_same_host(other, host)
    ]
    if not others:
        return []
    first = _next_on_ring(others, host)
    ranked = [other for other in rank_hosts(others, host.host_id) if other != first]
    return [first, *_interleave_domains(ranked, first.domain)][:fanout]


def _next_on_ring(others: Iterable[Host], host: Host) -> Host:
    position = _ring_position(host)
    return min(others, key=lambda other: (_ring_position(other) - position) % 2**64)


def _ring_position(host: Host) -> int:
    return xxhash.xxh3_64_intdigest(f"ring\0{host.host_id}".encode())


def _interleave_domains(ranked: list[Host], first_domain: DomainName) -> Iterator[Host]:
    by_domain: dict[DomainName, list[Host]] = {}
    for host in ranked:
        by_domain.setdefault(host.domain, []).append(host)
    # The first neighbour has used its domain's turn in the first round.
    queues = [queue for domain, queue in by_domain.items() if domain != first_domain]
    same_domain = by_domain.get(first_domain, [])
    for turn in zip_longest(*queues, [None, *same_domain]):
        yield from (host for host in turn if host is not None)


def _is_same_host(other: Host, host: Host) -> bool:
    return other.host_id == host.host_id
