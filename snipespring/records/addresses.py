"""Define the answers to callers that ask which hosts to use."""

from attrs import frozen

from .identity import Address, DomainName

__all__ = ["AddressAnswer", "OfferedAddress"]


@frozen(kw_only=True)
class OfferedAddress:
    """Describe a host that a caller may use."""

    address: Address
    domain: DomainName


@frozen(kw_only=True)
class AddressAnswer:
    """List the hosts that a caller may use, best first, for a limited time.

    `lifetime_s` is in seconds. The host that issued `idempotency_prefix` keeps records
    of idempotency keys that begin with it.
    """

    offers: tuple[OfferedAddress, ...]
    lifetime_s: float
    idempotency_prefix: str | None = None
