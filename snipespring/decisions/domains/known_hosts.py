"""List the hosts that this host knows of."""

from ...records import DomainReports, FeedView, FleetView, HostId, PublishedHost

__all__ = [
    "find_known_host",
    "has_unknown_host",
    "list_known_hosts",
    "list_outcome_recipients",
]

# Once this share of the known hosts reports, hosts that do not report count as down.
MIN_REPORTING_SHARE = 0.5


def list_known_hosts(
    feed: FeedView[PublishedHost], reports: DomainReports, own_host: PublishedHost
) -> tuple[PublishedHost, ...]:
    """Return the hosts of the registry, those that reported, and this one."""
    hosts = dict(feed.items)
    for host_id, received in reports.by_host.items():
        hosts[host_id] = received.report.host
    hosts[own_host.host_id] = own_host
    return tuple(hosts.values())


def find_known_host(
    feed: FeedView[PublishedHost], reports: DomainReports, host_id: HostId
) -> PublishedHost | None:
    """Return a host that reported or is in the registry, or None."""
    received = reports.by_host.get(host_id)
    return feed.items.get(host_id) if received is None else received.report.host


def has_unknown_host(
    feed: FeedView[PublishedHost], reports: DomainReports, view: FleetView
) -> bool:
    """Return whether a host serves whose addresses are not known."""
    return any(
        host_id not in feed.items and host_id not in reports.by_host
        for host_id in view.serving
    )


def list_outcome_recipients(
    hosts: tuple[PublishedHost, ...], view: FleetView, own_host: PublishedHost
) -> tuple[PublishedHost, ...]:
    """Return the other hosts of the domain to notify of an outcome at once.

    While few hosts report, as after a start of the whole fleet, all known hosts of
    the domain are notified.
    """
    is_view_usable = view.heard_hosts >= MIN_REPORTING_SHARE * len(hosts)
    return tuple(
        host
        for host in hosts
        if host.domain == own_host.domain
        and host.host_id != own_host.host_id
        and (host.host_id in view.serving or not is_view_usable)
    )
