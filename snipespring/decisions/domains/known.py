"""List the hosts that one knows of."""

from ...records import DomainReports, FeedView, FleetView, PublishedHost

__all__ = ["list_known", "list_receivers"]

SETTLED_SHARE = 0.5  # of the known hosts, once heard, the rest counts as gone


def list_known(
    feed: FeedView[PublishedHost], reports: DomainReports, own: PublishedHost
) -> tuple[PublishedHost, ...]:
    """Return the hosts of the registry, those that reported, and this one."""
    hosts = dict(feed.items)
    for host_id, heard in reports.by_host.items():
        hosts[host_id] = heard.report.host
    hosts[own.host_id] = own
    return tuple(hosts.values())


def list_receivers(
    hosts: tuple[PublishedHost, ...], view: FleetView, own: PublishedHost
) -> tuple[PublishedHost, ...]:
    """Return the other hosts of the domain to tell of an outcome at once.

    While few hosts were heard of, as after a start of all, every known one is told.
    """
    is_settled = view.heard_hosts >= SETTLED_SHARE * len(hosts)
    return tuple(
        host
        for host in hosts
        if host.domain == own.domain
        and host.host_id != own.host_id
        and (host.host_id in view.serving or not is_settled)
    )
