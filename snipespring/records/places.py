"""Define evacuated failure domains, what hosts relay about them, and regions."""

from attrs import frozen
from immutables import Map

from .identity import DomainName

__all__ = [
    "Evacuation",
    "EvacuationMark",
    "EvacuationsFollowed",
    "EvacuationsState",
    "EvacuationsUnused",
    "RegionMap",
]


@frozen(kw_only=True)
class Evacuation:
    """Ask that no request is sent to the servers of a domain.

    An object that cannot be read has a `problem` and no effect.
    """

    domain: DomainName
    problem: str | None = None


@frozen(kw_only=True)
class EvacuationMark:
    """List the evacuated domains as of a revision of an era of the store.

    Revision 0 stands for a sender that has not read them yet.
    """

    revision: int = 0
    domains: tuple[DomainName, ...] = ()
    era: int = 0


@frozen(kw_only=True)
class EvacuationsUnused:
    """Represent a deployment without evacuations."""


@frozen(kw_only=True)
class EvacuationsFollowed:
    """Record how recent this host's list of evacuated domains is.

    The host has followed them since the local time `since_s`. The list was up to date
    at `confirmed_s`, None before the first answer of the store or of another host.
    """

    since_s: float
    confirmed_s: float | None = None


EvacuationsState = EvacuationsUnused | EvacuationsFollowed


@frozen(kw_only=True)
class RegionMap:
    """Map failure domains to regions; `own_region` is that of this host's domain."""

    own_domain: DomainName = DomainName("")
    own_region: str = ""
    by_domain: Map[DomainName, str] = Map()
