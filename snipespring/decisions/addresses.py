"""Select the hosts whose addresses a caller is given."""

from collections.abc import Iterable
from itertools import zip_longest
from math import ceil

from attrs import frozen

from ..records import (
    AddressAnswer,
    DomainName,
    Host,
    HostId,
    HostStatuses,
    OfferedAddress,
    OrganisationName,
    Roster,
)
from .membership import rank_hosts

__all__ = ["AddressQuery", "list_addresses", "list_available_hosts"]

LOCAL_OFFERS = 2
REMOTE_OFFERS = 2
MIN_POOL_HOSTS = 2
MIN_DOMAINS = 2
HOST_RATE_PER_S = 100.0
MAX_STATUS_AGE_S = 5.0


@frozen(kw_only=True)
class AddressQuery:
    """Request addresses for a caller that sends `rate_per_s` requests per second.

    `holders` are the hosts that admit the organisation's requests without asking
    another host for credit.
    """

    organisation: OrganisationName | None
    rate_per_s: float
    local_domain: DomainName
    caller: str
    holders: frozenset[HostId] = frozenset()


def list_available_hosts(
    roster: Roster, statuses: HostStatuses, *, now_s: float
) -> tuple[Host, ...]:
    """Return the serving hosts, or if they are too few, all hosts that are not leaving.

    The serving hosts suffice if they are in at least `MIN_DOMAINS` failure domains, or
    in all if there are fewer. Hosts in one domain would all fail together with it.
    """
    remaining: list[Host] = []
    serving: list[Host] = []
    for host in roster.hosts.values():
        view = statuses.by_host.get(host.host_id)
        if view is None or view.status.incarnation != host.incarnation:
            remaining.append(host)
        elif not view.status.leaving:
            remaining.append(host)
            if view.status.serving and now_s - view.as_of_s <= MAX_STATUS_AGE_S:
                serving.append(host)
    needed = min(MIN_DOMAINS, _count_domains(remaining))
    return tuple(serving if _count_domains(serving) >= needed else remaining)


def list_addresses(
    hosts: Iterable[Host], query: AddressQuery, *, lifetime_s: float
) -> AddressAnswer:
    """Return the addresses for a caller, those in its own domain first.

    The addresses are in at least two failure domains if there are as many. In each
    domain, an organisation has a pool of hosts that grows with its rate. Its callers
    are spread over the pool, but the query's `holders` come first if there are enough
    of them for the rate.
    """
    pools = _list_pools(hosts, query)
    local = pools.pop(query.local_domain, [])
    remote = _interleave(pools.values(), query.caller)
    chosen = [*local[:LOCAL_OFFERS], *remote[:REMOTE_OFFERS]]
    if len(chosen) < LOCAL_OFFERS + REMOTE_OFFERS:
        rest = [*local[LOCAL_OFFERS:], *remote[REMOTE_OFFERS:]]
        chosen += rest[: LOCAL_OFFERS + REMOTE_OFFERS - len(chosen)]
    offers = tuple(
        OfferedAddress(address=host.callers, domain=host.domain) for host in chosen
    )
    return AddressAnswer(offers=offers, lifetime_s=lifetime_s)


def _count_domains(hosts: Iterable[Host]) -> int:
    return len({host.domain for host in hosts})


def _list_pools(
    hosts: Iterable[Host], query: AddressQuery
) -> dict[DomainName, list[Host]]:
    """Return the pool of each domain, in order of the caller's preference."""
    by_domain: dict[DomainName, list[Host]] = {}
    for host in rank_hosts(hosts, query.organisation or ""):
        by_domain.setdefault(host.domain, []).append(host)
    needed = ceil(query.rate_per_s / HOST_RATE_PER_S / max(1, len(by_domain)))
    return {
        domain: _rank_pool(members, query, needed)
        for domain, members in by_domain.items()
    }


def _rank_pool(members: list[Host], query: AddressQuery, needed: int) -> list[Host]:
    holders = [host for host in members if host.host_id in query.holders]
    others = [host for host in members if host.host_id not in query.holders]
    pool = [*holders, *others][: max(MIN_POOL_HOSTS, needed)]
    ranked = rank_hosts(pool, query.caller)
    if len(holders) >= needed:
        ranked.sort(key=lambda host: host.host_id not in query.holders)
    return ranked


def _interleave(pools: Iterable[list[Host]], caller: str) -> list[Host]:
    """Return the first hosts of all domains, then the second ones, and so on."""
    ordered: list[Host] = []
    for hosts in zip_longest(*pools):
        ordered += rank_hosts((host for host in hosts if host is not None), caller)
    return ordered
