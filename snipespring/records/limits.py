"""Define shares of organisations' limits, credit lent from them, and admissions.

Each organisation's rate limit is divided into slots, which the roster assigns to
hosts. The holder of a slot has its share: credit, in requests, that grows with time
up to the slot's capacity. Other hosts borrow credit from the holder.
"""

from attrs import frozen
from immutables import Map

from .fleet import Roster
from .identity import Host, HostId, Incarnation, OrganisationName

__all__ = [
    "Account",
    "Admission",
    "Admitted",
    "Credit",
    "CreditNeeds",
    "Lender",
    "LenderView",
    "Loan",
    "Loans",
    "LostShare",
    "OverLimit",
    "Peer",
    "RosterTransition",
    "Share",
    "ShareLedger",
    "ShareRelease",
    "SlotLimit",
]


@frozen(kw_only=True)
class Admitted:
    """Confirm that the request was paid for from the organisation's share."""


@frozen(kw_only=True)
class OverLimit:
    """Refuse the request, which may be retried after `retry_after_s`."""

    reason: str
    retry_after_s: float


Admission = Admitted | OverLimit


@frozen(kw_only=True)
class SlotLimit:
    """Limit the rate and capacity (in requests) of one slot of an organisation."""

    rate_per_s: float
    capacity: float


@frozen(kw_only=True)
class Peer:
    """Identify one process of the fleet."""

    host_id: HostId
    incarnation: Incarnation


@frozen(kw_only=True)
class Loan:
    """Grant credit that a borrower may spend until a time of the lender's clock."""

    amount: float
    until_s: float


@frozen(kw_only=True)
class Loans:
    """List the credit that one borrower may still spend.

    `sequence` and `asked_at_s` are those of the borrower's latest request for credit.
    """

    sequence: int
    asked_at_s: float = 0.0
    loans: tuple[Loan, ...] = ()


@frozen(kw_only=True)
class Share:
    """Represent one slot's credit at its holder.

    `level` is the credit at the local time `as_of_s` and grows from then; no credit
    exists while `begins_at_s` is None or in the future. `since_version` is the roster
    version since which this host has held the slot without interruption. `inherited`
    is what the previous holder had lent.
    """

    since_version: int
    begins_at_s: float | None
    as_of_s: float
    level: float = 0.0
    lent: Map[Peer, Loans] = Map()
    inherited: tuple[Loan, ...] = ()


@frozen(kw_only=True)
class Lender:
    """Identify one slot of an organisation at its holder."""

    peer: Peer
    slot: int


@frozen(kw_only=True)
class Credit:
    """Represent borrowed credit and when it expires by the borrower's clock."""

    amount: float
    until_s: float


@frozen(kw_only=True)
class LenderView:
    """Record a lender's level as last reported, and when to ask it again."""

    level: float
    as_of_s: float
    avoid_until_s: float = 0.0


@frozen(kw_only=True)
class Account:
    """Describe what this host may spend for one organisation, and the demand for it.

    `holders` lists the host of each slot. `shares` are this host's own by slot,
    `credits` what this host has borrowed. `pending` is the credit asked for but not
    yet granted or refused. `waiting` is the number of requests that wait for credit.
    """

    roster_version: int = 0
    holders: tuple[Host, ...] = ()
    shares: Map[int, Share] = Map()
    credits: Map[Lender, tuple[Credit, ...]] = Map()
    lenders: Map[Lender, LenderView] = Map()
    pending: Map[Lender, float] = Map()
    demand_per_s: float = 0.0
    demand_at_s: float = 0.0
    waiting: int = 0


@frozen(kw_only=True)
class RosterTransition:
    """Describe an adopted roster version and the shares that pass to this host.

    `previous_holders` names the hosts that may have lost shares to this one; None
    stands for unknown. `stopped` maps each of them to the time from which neither
    this previous holder nor its borrowers spend anything of what it held before.
    `released` maps a previous holder to the time from which it was the only user of
    the shares that it gave up and left them unused.
    """

    roster: Roster
    adopted_at_s: float
    previous_holders: frozenset[Peer] | None
    stopped: Map[Peer, float] = Map()
    released: Map[Peer, float] = Map()
    fenced_at_s: float | None = None


@frozen(kw_only=True)
class LostShare:
    """Describe a share that passed to another host with a roster version."""

    slot: int
    share: Share
    last_held_version: int
    holder: Host


@frozen(kw_only=True)
class ShareRelease:
    """Describe what this host must report to a host that gained shares from it.

    Every other share that passed to the recipient was unused since `unused_since_s`;
    None stands for shares of which this host was not yet the only user.
    """

    recipient: Host
    roster_version: int
    last_held_version: int
    unused_since_s: float | None
    lost: tuple[tuple[OrganisationName, LostShare], ...] = ()


@frozen(kw_only=True)
class ShareLedger:
    """List consecutive roster versions, oldest first, and every account.

    `releases` are the reports still to be sent to hosts that gained shares from this
    one. `sequence` is that of the last message that asked for credit. All credit that
    this host lent has expired at `loans_until_s`.
    """

    transitions: tuple[RosterTransition, ...] = ()
    accounts: Map[OrganisationName, Account] = Map()
    releases: tuple[ShareRelease, ...] = ()
    sequence: int = 0
    loans_until_s: float = 0.0


@frozen(kw_only=True)
class CreditNeeds:
    """List the organisations for which this host wants to borrow.

    `revision` rises with each change of `organisations`.
    """

    organisations: frozenset[OrganisationName] = frozenset()
    revision: int = 0
