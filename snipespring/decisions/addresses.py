"""Decide which hosts a caller should use."""

from collections.abc import Iterable

from ..records import (
    AddressAnswer,
    DomainName,
    Host,
    HostId,
    OfferedAddress,
    OrganisationName,
)
from .membership import rank_hosts

__all__ = ["list_addresses"]

OFFERED_HOSTS = 4


def list_addresses(
    hosts: Iterable[Host],
    *,
    leaving: frozenset[HostId],
    organisation: OrganisationName | None,
    near: DomainName,
    lifetime_s: float,
) -> AddressAnswer:
    """Return hosts for the organisation, near first, in at least two domains."""
    staying = [host for host in hosts if host.host_id not in leaving]
    ranked = rank_hosts(staying, organisation or "")
    chosen = ranked[:OFFERED_HOSTS]
    if len({host.domain for host in chosen}) == 1:
        others = [host for host in ranked if host.domain != chosen[0].domain]
        chosen = chosen[: OFFERED_HOSTS - 1] + others[:1]
    chosen.sort(key=lambda host: host.domain != near)
    offers = tuple(
        OfferedAddress(address=host.callers, domain=host.domain) for host in chosen
    )
    return AddressAnswer(offers=offers, lifetime_s=lifetime_s)
