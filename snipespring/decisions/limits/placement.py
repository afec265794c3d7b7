"""Place the slots of an organisation's limit on hosts."""

from collections import Counter

import xxhash

from ...records import DomainName, Host, OrganisationName, Roster

__all__ = ["SLOT_COUNT", "slot_holders"]

SLOT_COUNT = 4
MAX_SLOTS_PER_DOMAIN = 2


def slot_holders(roster: Roster, organisation: OrganisationName) -> tuple[Host, ...]:
    """Return each slot's holder, at most two of a failure domain if there are more.

    While the set of domains stays, a host that joins only takes slots and one
    that leaves only gives its own. An empty roster yields no holders.
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
    most = MAX_SLOTS_PER_DOMAIN if len(domains) > 1 else len(names)
    taken: Counter[DomainName] = Counter()
    chosen: list[DomainName] = []
    for name in names:
        open_domains = [domain for domain in domains if taken[domain] < most]
        domain = max(open_domains, key=lambda domain: _weight(name, domain))
        taken[domain] += 1
        chosen.append(domain)
    return chosen


def _weight(name: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{candidate}".encode())
