"""Hold shares of organisations' limits, credit lent of them, and admissions."""

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
    """State that the request was paid for from the organisation's share."""


@frozen(kw_only=True)
class OverLimit:
    """State why the request is refused and when it may be tried again."""

    reason: str
    retry_after_s: float


Admission = Admitted | OverLimit


@frozen(kw_only=True)
class SlotLimit:
    """Bound one slot of an organisation's rule, in requests and per second."""

    rate_per_s: float
    capacity: float


@frozen(kw_only=True)
class Peer:
    """Name one process of the fleet."""

    host_id: HostId
    incarnation: Incarnation


@frozen(kw_only=True)
class Loan:
    """Hold credit that a borrower may spend until a time of the lender's clock."""

    amount: float
    until_s: float


@frozen(kw_only=True)
class Loans:
    """Hold what one borrower may still spend and its latest request."""

    sequence: int
    asked_at_s: float = 0.0
    loans: tuple[Loan, ...] = ()


@frozen(kw_only=True)
class Share:
    """Hold one slot's credit at its holder.

    The level grows from `as_of_s`; no credit exists while `begins_at_s` is None
    or still to come. `since_version` is the roster version from which this host
    has been the holder without a break; `inherited` is what the holder before
    it had lent.
    """

    since_version: int
    begins_at_s: float | None
    as_of_s: float
    level: float = 0.0
    lent: Map[Peer, Loans] = Map()
    inherited: tuple[Loan, ...] = ()


@frozen(kw_only=True)
class Lender:
    """Name one slot of an organisation at its holder."""

    peer: Peer
    slot: int


@frozen(kw_only=True)
class Credit:
    """Hold borrowed credit and when it ends by the borrower's clock."""

    amount: float
    until_s: float


@frozen(kw_only=True)
class LenderView:
    """Hold a lender's level as last reported and when to ask it again."""

    level: float
    as_of_s: float
    avoid_until_s: float = 0.0


@frozen(kw_only=True)
class Account:
    """Hold what this host may spend for one organisation, and its demand.

    `pending` is the credit asked for whose answer has not come.
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
    """Hold one roster version and whose shares may pass to this host with it.

    `previous_holders` names the hosts that may have lost shares to this one; None stands
    for unknown. `stopped` tells from when each of them, and its loans, spends
    nothing that it held before; `released`, from when the shares that it gave
    up had been its own and unused.
    """

    roster: Roster
    adopted_at_s: float
    previous_holders: frozenset[Peer] | None
    stopped: Map[Peer, float] = Map()
    released: Map[Peer, float] = Map()
    fenced_at_s: float | None = None


@frozen(kw_only=True)
class LostShare:
    """Hold a share that passed to another host after a roster version."""

    slot: int
    share: Share
    last_held_version: int
    holder: Host


@frozen(kw_only=True)
class ShareRelease:
    """Hold what one host is to be told of shares that passed to it.

    Every other share that it gained here was unused since `unused_since_s`;
    None stands for shares that this host was not yet the only user of.
    """

    recipient: Host
    roster_version: int
    last_held_version: int
    unused_since_s: float | None
    lost: tuple[tuple[OrganisationName, LostShare], ...] = ()


@frozen(kw_only=True)
class ShareLedger:
    """Hold consecutive roster versions, oldest first, and every account."""

    transitions: tuple[RosterTransition, ...] = ()
    accounts: Map[OrganisationName, Account] = Map()
    releases: tuple[ShareRelease, ...] = ()
    sequence: int = 0
    loans_until_s: float = 0.0


@frozen(kw_only=True)
class CreditNeeds:
    """Name the organisations for which this host wants to borrow."""

    organisations: frozenset[OrganisationName] = frozenset()
    revision: int = 0
