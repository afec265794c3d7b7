"""Answers to callers that ask which hosts to use."""

from attrs import frozen

from .identity import Address, DomainName

__all__ = ["AddressAnswer", "OfferedAddress"]


@frozen(kw_only=True)
class OfferedAddress:
    """A host that a caller may use."""

    address: Address
    domain: DomainName


@frozen(kw_only=True)
class AddressAnswer:
    """The hosts that a caller may use, best first, and how long the list is valid.

    `lifetime_s` is in seconds. The host that issued `idempotency_prefix` keeps records
    of idempotency keys that begin with it.
    """

    offers: tuple[OfferedAddress, ...]
    lifetime_s: float
    idempotency_prefix: str | None = None
