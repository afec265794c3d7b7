"""Define the messages by which hosts lend credit and hand over shares.

Each organisation's rate limit is divided into slots. The host that holds a slot has
its share: credit in requests, whose amount (the level) grows with time up to a maximum.
"""

from attrs import frozen

from .identity import OrganisationName
from .limits import Peer

__all__ = [
    "CreditAsk",
    "CreditAsks",
    "CreditGrant",
    "CreditGrants",
    "LimitMessage",
    "ShareHandover",
    "ShareHandovers",
    "SharesTaken",
]


@frozen(kw_only=True)
class CreditAsk:
    """Ask for credit of one slot; `unspent` is the rest of earlier grants.

    `urgent` is the credit for waiting requests, `ahead` that for expected ones.
    """

    organisation: OrganisationName
    slot: int
    unspent: float
    urgent: float
    ahead: float


@frozen(kw_only=True)
class CreditAsks:
    """Ask a holder for credit; `sequence` rises with each message of a sender."""

    sender: Peer
    sequence: int
    asks: tuple[CreditAsk, ...]


@frozen(kw_only=True)
class CreditGrant:
    """Lend credit of one slot; `left` is the level that remains.

    `urgent` is the credit for waiting requests, `ahead` that for expected ones.
    A borrower that received less than it asked for asks again after `again_in_s`.
    """

    organisation: OrganisationName
    slot: int
    urgent: float
    ahead: float
    left: float
    again_in_s: float


@frozen(kw_only=True)
class CreditGrants:
    """Answer a request for credit with one grant for each ask."""

    grants: tuple[CreditGrant, ...]


@frozen(kw_only=True)
class ShareHandover:
    """Hand over one slot's level; credit `lent` returns after `lent_for_s` seconds."""

    organisation: OrganisationName
    slot: int
    level: float
    lent: float
    lent_for_s: float


@frozen(kw_only=True)
class ShareHandovers:
    """Confirm that the sender gave up all shares that a roster version takes from it.

    All credit that the sender lent expires within `lent_for_s` seconds. With
    `complete`, the sender was the only user of every share that it held up to roster
    version `last_held_version`; the shares not listed have no credit lent and grew for
    `unused_for_s` seconds.
    """

    sender: Peer
    roster_version: int
    last_held_version: int
    complete: bool
    unused_for_s: float
    lent_for_s: float
    shares: tuple[ShareHandover, ...]


@frozen(kw_only=True)
class SharesTaken:
    """Confirm that shares handed over were received."""


LimitMessage = CreditAsks | CreditGrants | ShareHandovers | SharesTaken
