"""Define identities of hosts, backend servers, services and organisations."""

from typing import NewType

from attrs import frozen

__all__ = [
    "Address",
    "DomainName",
    "Host",
    "HostId",
    "Incarnation",
    "OrganisationName",
    "ServerId",
    "ServiceName",
]

HostId = NewType("HostId", str)
Incarnation = NewType("Incarnation", str)
DomainName = NewType("DomainName", str)
OrganisationName = NewType("OrganisationName", str)
ServiceName = NewType("ServiceName", str)


@frozen(kw_only=True, order=True)
class Address:
    """Identify a listener by IP address and TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as `ip:port`."""
        return f"{self.ip}:{self.port}"


@frozen(kw_only=True, order=True)
class ServerId:
    """Identify a backend server by its service, address and start.

    `instance` is the id under which the server registered and `born_ms` the time of
    its start in Unix milliseconds. Both are empty if servers are configured by
    address alone.
    """

    service: ServiceName
    address: Address
    instance: str = ""
    born_ms: int = 0

    def __str__(self) -> str:
        """Return the server as `service@ip:port`."""
        return f"{self.service}@{self.address}"


@frozen(kw_only=True)
class Host:
    """Describe one process of the fleet; each restart has a new incarnation."""

    host_id: HostId
    incarnation: Incarnation
    domain: DomainName
    callers: Address
    peers: Address
    operators: Address
