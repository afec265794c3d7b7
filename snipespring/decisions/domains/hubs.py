"""Choose the hosts that collect and return the reports of a failure domain."""

from collections.abc import Iterable, Set
from heapq import nsmallest

from ...records import DomainName, HostId, PublishedHost

__all__ = ["HUBS_PER_DOMAIN", "SMALL_DOMAIN_HOSTS", "choose_hubs", "is_hub"]

# In a domain of up to this size, hosts exchange more of what they know directly.
SMALL_DOMAIN_HOSTS = 16
HUBS_PER_DOMAIN = 2  # so that one hub can fail without stopping the reports
# A link of this bandwidth limits a hub as much as one processor core does.
LINK_MBPS_PER_CORE = 20.0


def choose_hubs(
    hosts: Iterable[PublishedHost], domain: DomainName, *, silent: Set[HostId]
) -> tuple[PublishedHost, ...]:
    """Return the hubs of a domain: the largest hosts, silent ones last.

    Hosts of the same size are taken in the order of their ids.
    """
    members = nsmallest(
        HUBS_PER_DOMAIN,
        (host for host in hosts if host.domain == domain),
        key=lambda host: (host.host_id in silent, -_size_of(host), host.host_id),
    )
    return tuple(members)


def _size_of(host: PublishedHost) -> float:
    capacity = host.capacity
    return min(capacity.cores, capacity.link_mbps / LINK_MBPS_PER_CORE)


def is_hub(hubs: tuple[PublishedHost, ...], own_id: HostId) -> bool:
    """Return whether this host is one of the hubs."""
    return any(hub.host_id == own_id for hub in hubs)
