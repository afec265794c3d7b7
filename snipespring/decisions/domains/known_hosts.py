"""List the hosts that one knows of."""

from ...records import DomainReports, FeedView, FleetView, PublishedHost

__all__ = ["list_known_hosts", "list_outcome_recipients"]

MIN_REPORTING_SHARE = 0.5  # of the known hosts, once heard, the rest counts as gone


def list_known_hosts(
    feed: FeedView[PublishedHost], reports: DomainReports, own_host: PublishedHost
) -> tuple[PublishedHost, ...]:
    """Return the hosts of the registry, those that reported, and this one."""
    hosts = dict(feed.items)
    for host_id, heard in reports.by_host.items():
        hosts[host_id] = heard.report.host
    hosts[own_host.host_id] = own_host
    return tuple(hosts.values())


def list_outcome_recipients(
    hosts: tuple[PublishedHost, ...], view: FleetView, own_host: PublishedHost
) -> tuple[PublishedHost, ...]:
    """Return the other hosts of the domain to tell of an outcome at once.

    While few hosts were heard of, as after a start of all, every known one is told.
    """
    is_settled = view.heard_hosts >= MIN_REPORTING_SHARE * len(hosts)
    return tuple(
        host
        for host in hosts
        if host.domain == own_host.domain
        and host.host_id != own_host.host_id
        and (host.host_id in view.serving or not is_settled)
    )
