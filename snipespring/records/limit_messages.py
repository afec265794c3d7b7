"""Hold the messages by which hosts lend credit and hand over shares."""

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
    """Ask for credit of one slot; `unspent` is what earlier grants left.

    `urgent` is for requests that wait, `ahead` for those expected.
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

    A borrower that got less than it asked for asks again after `again_in_s`.
    """

    organisation: OrganisationName
    slot: int
    urgent: float
    ahead: float
    left: float
    again_in_s: float


@frozen(kw_only=True)
class CreditGrants:
    """Answer a request for credit, one grant for each ask."""

    grants: tuple[CreditGrant, ...]


@frozen(kw_only=True)
class ShareHandover:
    """Hand over one slot's level; `lent` comes back after `lent_for_s` seconds."""

    organisation: OrganisationName
    slot: int
    level: float
    lent: float
    lent_for_s: float


@frozen(kw_only=True)
class ShareHandovers:
    """State that the sender gave up all that a roster version takes from it.

    All that it lent ends within `lent_for_s` seconds. With `complete`, it was
    the only user of every share that it held up to `last_held_version`, and
    those not listed are not lent and grew for `unused_for_s` seconds.
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
    """Confirm that handed over shares were taken."""


LimitMessage = CreditAsks | CreditGrants | ShareHandovers | SharesTaken
