"""Assign the slots of an organisation's limit to hosts by rendezvous hashing."""

from collections import Counter

import xxhash

from ...records import DomainName, Host, OrganisationName, Roster

__all__ = ["SLOT_COUNT", "slot_holders"]

SLOT_COUNT = 4
MAX_SLOTS_PER_DOMAIN = 2


def slot_holders(roster: Roster, organisation: OrganisationName) -> tuple[Host, ...]:
    """Return each slot's holder, spread over the failure domains.

    With more than one domain, none has more than MAX_SLOTS_PER_DOMAIN slots.
    While the set of domains is unchanged, slots move only to a host that joins
    or away from a host that leaves. An empty roster yields no holders.
    """
    by_domain: dict[DomainName, list[Host]] = {}
    for host in roster.hosts.values():
        by_domain.setdefault(host.domain, []).append(host)
    if not by_domain:
        return ()
    names = [f"limit/{organisation}/{slot}" for slot in range(SLOT_COUNT)]
    domains = _choose_domains(names, list(by_domain))
    return tuple(
        max(by_domain[domain], key=lambda host: _weight(name, host.host_id))
        for name, domain in zip(names, domains, strict=True)
    )


def _choose_domains(names: list[str], domains: list[DomainName]) -> list[DomainName]:
    max_slots = MAX_SLOTS_PER_DOMAIN if len(domains) > 1 else len(names)
    counts: Counter[DomainName] = Counter()
    chosen: list[DomainName] = []
    for name in names:
        candidates = [domain for domain in domains if counts[domain] < max_slots]
        domain = max(candidates, key=lambda domain: _weight(name, domain))
        counts[domain] += 1
        chosen.append(domain)
    return chosen


def _weight(name: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{candidate}".encode())
