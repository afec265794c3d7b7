"""Determine from the blackboard which hosts are known and who sent a message."""

from ..blackboard import Board
from ..blackboard.regions import DOMAIN_REPORTS, HOST_FEED, SERVER_FEED
from ..decisions.domains import find_known_host, list_known_hosts
from ..records import Address, DomainName, HostId, PublishedHost

__all__ = ["is_known_domain", "is_sent_by", "read_known_hosts"]


def read_known_hosts(
    board: Board, own_host: PublishedHost
) -> tuple[PublishedHost, ...]:
    """Return the hosts of the registry, those that reported, and this one."""
    return list_known_hosts(board.read(HOST_FEED), board.read(DOMAIN_REPORTS), own_host)


def is_sent_by(board: Board, host_id: HostId, sender: Address) -> bool:
    """Return whether `sender` is the peer address of the host `host_id`."""
    host = find_known_host(board.read(HOST_FEED), board.read(DOMAIN_REPORTS), host_id)
    return host is not None and host.peers == sender


def is_known_domain(board: Board, own_host: PublishedHost, domain: DomainName) -> bool:
    """Return whether a host of the fleet or a server is in a failure domain."""
    return (
        own_host.domain == domain
        or any(host.domain == domain for host in board.read(HOST_FEED).items.values())
        or any(
            server.domain == domain for server in board.read(SERVER_FEED).items.values()
        )
    )
