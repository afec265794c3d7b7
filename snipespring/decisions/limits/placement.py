"""Place the slots of an organisation's limit on hosts."""

from ...records import DomainName, Host, OrganisationName, Roster
from ..membership import rank_hosts

__all__ = ["SLOTS", "slot_holders"]

SLOTS = 4


def slot_holders(roster: Roster, organisation: OrganisationName) -> tuple[Host, ...]:
    """Return each slot's holder, in turn from every failure domain.

    While the set of domains stays, a host that joins only takes slots and one
    that leaves only gives its own. An empty roster yields no holders.
    """
    by_domain: dict[DomainName, list[Host]] = {}
    for host in roster.hosts.values():
        by_domain.setdefault(host.domain, []).append(host)
    if not by_domain:
        return ()
    domains = sorted(by_domain)
    return tuple(
        rank_hosts(
            by_domain[domains[slot % len(domains)]], f"limit/{organisation}/{slot}"
        )[0]
        for slot in range(SLOTS)
    )
