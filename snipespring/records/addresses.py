"""Hold the answer to a caller that asks which hosts to use."""

from attrs import frozen

from .identity import Address, DomainName

__all__ = ["AddressAnswer", "OfferedAddress"]


@frozen(kw_only=True)
class OfferedAddress:
    """Offer one host to a caller."""

    address: Address
    domain: DomainName


@frozen(kw_only=True)
class AddressAnswer:
    """List hosts, best first, and how many seconds the list may be kept.

    Idempotency keys that begin with the prefix are remembered by its issuer.
    """

    offers: tuple[OfferedAddress, ...]
    lifetime_s: float
    idempotency_prefix: str | None = None
