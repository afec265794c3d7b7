"""Define evacuated failure domains and what hosts relay about them."""

from attrs import frozen

from .identity import DomainName

__all__ = [
    "Evacuation",
    "EvacuationMark",
    "EvacuationsFollowed",
    "EvacuationsState",
    "EvacuationsUnused",
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
    """List the evacuated domains as of a revision of the store.

    Revision 0 stands for a sender that has not read them yet.
    """

    revision: int = 0
    domains: tuple[DomainName, ...] = ()


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
