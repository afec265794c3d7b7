"""Choose the hosts that callers in a failure domain are offered."""

from collections.abc import Iterable
from random import Random

from attrs import frozen

from ...records import (
    AddressAnswer,
    DomainName,
    FleetView,
    HostId,
    OfferedAddress,
    PublishedHost,
)

__all__ = ["AddressListLimits", "offer_addresses"]

MIN_SAME_DOMAIN = 3  # hosts of the callers' own domain that suffice to offer no others


@frozen(kw_only=True)
class AddressListLimits:
    """Bound an answer: how long it is kept and how many hosts it names."""

    lifetime_s: float
    max_hosts: int = 64


def offer_addresses(
    hosts: Iterable[PublishedHost],
    view: FleetView,
    own_id: HostId,
    domain: DomainName,
    limits: AddressListLimits,
    *,
    is_own_serving: bool,
    rng: Random,
) -> AddressAnswer:
    """Return the serving hosts of a domain, and others where these are few.

    Callers take one of the hosts at random. Where no host is known to serve,
    all hosts are offered.
    """
    known = sorted(hosts, key=lambda host: host.host_id)
    serving = [
        host
        for host in known
        if (is_own_serving if host.host_id == own_id else host.host_id in view.serving)
    ]
    usable = serving or known
    near = [host for host in usable if host.domain == domain]
    far = [host for host in usable if host.domain != domain]
    rng.shuffle(near)
    rng.shuffle(far)
    wanted = MIN_SAME_DOMAIN - len(near)
    chosen = [*near, *(far[:wanted] if near and wanted > 0 else [])]
    offers = tuple(
        OfferedAddress(address=host.callers, domain=host.domain)
        for host in (chosen or far)[: limits.max_hosts]
    )
    return AddressAnswer(offers=offers, lifetime_s=limits.lifetime_s)
