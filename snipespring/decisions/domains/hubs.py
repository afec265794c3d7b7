"""Choose the hosts that collect and return the reports of a failure domain."""

from collections.abc import Iterable, Set

from ...records import DomainName, HostId, PublishedHost

__all__ = ["HUBS_PER_DOMAIN", "choose_hubs", "is_hub"]

HUBS_PER_DOMAIN = 2  # so that one hub can fail without stopping the reports


def choose_hubs(
    hosts: Iterable[PublishedHost], domain: DomainName, *, silent: Set[HostId]
) -> tuple[PublishedHost, ...]:
    """Return the hubs of a domain: the first hosts by id, silent ones last."""
    members = sorted(
        (host for host in hosts if host.domain == domain),
        key=lambda host: (host.host_id in silent, host.host_id),
    )
    return tuple(members[:HUBS_PER_DOMAIN])


def is_hub(hubs: tuple[PublishedHost, ...], own_id: HostId) -> bool:
    """Return whether this host is one of the hubs."""
    return any(hub.host_id == own_id for hub in hubs)
