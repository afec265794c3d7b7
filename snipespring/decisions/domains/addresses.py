"""Choose the hosts to offer to callers in a failure domain."""

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

# With fewer usable hosts in the requested domain, hosts of others are offered too.
MIN_SAME_DOMAIN = 3


@frozen(kw_only=True)
class AddressListLimits:
    """Limit how long callers may cache an address list, and its length."""

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
    """Return the serving hosts of a domain, plus hosts of others if it has few.

    Callers choose one of the hosts at random. If no host is known to serve, all
    hosts count as serving.
    """
    known = sorted(hosts, key=lambda host: host.host_id)
    serving = [
        host
        for host in known
        if (is_own_serving if host.host_id == own_id else host.host_id in view.serving)
    ]
    usable = serving or known
    same_domain = [host for host in usable if host.domain == domain]
    other_domains = [host for host in usable if host.domain != domain]
    rng.shuffle(same_domain)
    rng.shuffle(other_domains)
    missing = MIN_SAME_DOMAIN - len(same_domain)
    chosen = [
        *same_domain,
        *(other_domains[:missing] if same_domain and missing > 0 else []),
    ]
    offers = tuple(
        OfferedAddress(address=host.callers, domain=host.domain)
        for host in (chosen or other_domains)[: limits.max_hosts]
    )
    return AddressAnswer(offers=offers, lifetime_s=limits.lifetime_s)
