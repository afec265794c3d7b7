"""Decide when to borrow credit, from which slot holders and how much.

Urgent credit is for requests that wait now, credit ahead for those expected soon.
Credit is counted in requests.
"""

from attrs import evolve, frozen

from ...records import Account, Host, Lender, LenderView, Peer, SlotLimit
from .accounts import available_credit, current_demand_per_s
from .shares import AHEAD_LENT_FRACTION, AHEAD_RESERVED_FRACTION
from .tenure import peer_of

__all__ = [
    "NO_REPLY_BACKOFF_S",
    "REFUSAL_BACKOFF_S",
    "CreditNeed",
    "PlannedAsk",
    "credit_need",
    "expected_credit",
    "may_wait",
    "next_ask_delay_s",
    "plan_asks",
    "record_lender",
    "waiting_limit",
]

AHEAD_HORIZON_S = 0.25
MIN_AHEAD_CREDIT = 1.0
MIN_AHEAD_DEMAND_FRACTION = 0.4
MAX_WAITING_REQUESTS = 16
SLOW_SLOT_RATE_PER_S = 6.0
PARTIAL_ASK_FRACTION = 0.95
MIN_ASK_DELAY_S = 0.01
MAX_ASK_DELAY_S = 0.5
AHEAD_ASK_INTERVAL_S = 0.05
NO_REPLY_BACKOFF_S = 3.0
REFUSAL_BACKOFF_S = 0.5


@frozen(kw_only=True)
class CreditNeed:
    """Specify the credit wanted for waiting and for expected requests.

    `urgent` is the credit for waiting requests, `ahead` that for expected ones.
    """

    urgent: float = 0.0
    ahead: float = 0.0


@frozen(kw_only=True)
class PlannedAsk:
    """Specify the credit to ask for from one slot and its holder."""

    slot: int
    host: Host
    urgent: float
    ahead: float


def credit_need(account: Account, limit: SlotLimit, *, now_s: float) -> CreditNeed:
    """Return the credit to borrow for an account refilled up to now."""
    surplus = (
        available_credit(account) + sum(account.pending.values()) - account.waiting
    )
    urgent = max(0.0, -surplus)
    demand_per_s = current_demand_per_s(account, now_s=now_s)
    wanted = min(demand_per_s * AHEAD_HORIZON_S, limit.capacity)
    is_low_demand = demand_per_s < limit.rate_per_s * MIN_AHEAD_DEMAND_FRACTION
    if is_low_demand or wanted < MIN_AHEAD_CREDIT or surplus >= wanted / 2:
        return CreditNeed(urgent=urgent)
    return CreditNeed(urgent=urgent, ahead=wanted - max(0.0, surplus))


def plan_asks(
    account: Account,
    need: CreditNeed,
    limit: SlotLimit,
    own_peer: Peer,
    *,
    unanswered_peers: frozenset[Peer],
    now_s: float,
) -> tuple[PlannedAsk, ...]:
    """Return the requests for credit to send now, the holder with most credit first.

    A holder in `unanswered_peers` still has to answer an earlier one and is skipped.
    """
    asks: list[PlannedAsk] = []
    urgent, ahead = need.urgent, need.ahead
    for slot, host, expected in _rank_lenders(account, limit, own_peer, now_s):
        if urgent <= 0 and ahead <= 0:
            break
        if peer_of(host) in unanswered_peers or not _may_ask(
            account, slot, host, now_s
        ):
            continue
        part = min(urgent, max(expected, min(1.0, limit.capacity)))
        spare = expected - part - limit.capacity * AHEAD_RESERVED_FRACTION
        extra = min(ahead, max(0.0, spare) * AHEAD_LENT_FRACTION)
        if part <= 0 and (
            extra < 1.0 or not _may_ask_ahead(account, slot, host, now_s)
        ):
            continue
        asks.append(PlannedAsk(slot=slot, host=host, urgent=part, ahead=extra))
        urgent -= part
        ahead -= extra
    if asks or urgent <= 0 or limit.rate_per_s >= SLOW_SLOT_RATE_PER_S:
        return tuple(asks)
    return _plan_partial_asks(account, urgent, limit, own_peer, unanswered_peers, now_s)


def _plan_partial_asks(
    account: Account,
    urgent: float,
    limit: SlotLimit,
    own_peer: Peer,
    unanswered_peers: frozenset[Peer],
    now_s: float,
) -> tuple[PlannedAsk, ...]:
    """Return asks for parts of the urgent credit that no single holder can lend.

    There are none unless all holders together are expected to have enough.
    """
    ranked_lenders = _rank_lenders(account, limit, own_peer, now_s)
    candidates = [
        entry for entry in ranked_lenders if peer_of(entry[1]) not in unanswered_peers
    ]
    if sum(expected for _, _, expected in candidates) * PARTIAL_ASK_FRACTION < urgent:
        return ()
    asks: list[PlannedAsk] = []
    for slot, host, expected in candidates:
        part = min(urgent, expected * PARTIAL_ASK_FRACTION)
        if part > 0:
            asks.append(PlannedAsk(slot=slot, host=host, urgent=part, ahead=0.0))
        urgent -= part
    return tuple(asks)


def record_lender(
    account: Account,
    lender: Lender,
    *,
    left: float,
    again_in_s: float,
    now_s: float,
) -> Account:
    """Return the account with what a lender reported about its credit.

    `left` is the credit that the lender has left; the lender is asked again after
    `again_in_s` seconds.
    """
    view = LenderView(level=left, as_of_s=now_s, avoid_until_s=now_s + again_in_s)
    return evolve(account, lenders=account.lenders.set(lender, view))


def next_ask_delay_s(
    account: Account,
    need: CreditNeed,
    limit: SlotLimit,
    own_peer: Peer,
    *,
    now_s: float,
) -> float:
    """Return the seconds until the first holder may be asked again."""
    if need.urgent <= 0:
        return AHEAD_ASK_INTERVAL_S
    times_s = [
        _lender_view(account, slot, host, limit, now_s).avoid_until_s
        for slot, host in _other_holders(account, own_peer)
    ]
    soonest_s = min(times_s, default=now_s + MAX_ASK_DELAY_S)
    return min(max(soonest_s - now_s, MIN_ASK_DELAY_S), MAX_ASK_DELAY_S)


def expected_credit(
    account: Account, limit: SlotLimit, own_peer: Peer, *, now_s: float
) -> float:
    """Return this host's credit plus an estimate of that of the other holders.

    The estimate adds the refill since then to the level that each last reported.
    """
    return available_credit(account) + sum(
        expected for _, _, expected in _rank_lenders(account, limit, own_peer, now_s)
    )


def waiting_limit(
    account: Account, limit: SlotLimit, own_peer: Peer, *, now_s: float
) -> int:
    """Return how many requests may wait for credit at the same time."""
    expected = expected_credit(account, limit, own_peer, now_s=now_s)
    return max(1, min(MAX_WAITING_REQUESTS, int(expected)))


def may_wait(
    account: Account, limit: SlotLimit, own_peer: Peer, *, now_s: float
) -> bool:
    """Return whether one more request may wait for credit."""
    return account.waiting < waiting_limit(account, limit, own_peer, now_s=now_s)


def _other_holders(account: Account, own_peer: Peer) -> list[tuple[int, Host]]:
    return [
        (slot, host)
        for slot, host in enumerate(account.holders)
        if peer_of(host) != own_peer
    ]


def _rank_lenders(
    account: Account, limit: SlotLimit, own_peer: Peer, now_s: float
) -> list[tuple[int, Host, float]]:
    entries = []
    for slot, host in _other_holders(account, own_peer):
        view = _lender_view(account, slot, host, limit, now_s)
        refilled = view.level + limit.rate_per_s * max(0.0, now_s - view.as_of_s)
        expected = min(limit.capacity, refilled)
        entries.append((slot, host, expected))
    return sorted(entries, key=lambda entry: entry[2], reverse=True)


def _lender_view(
    account: Account, slot: int, host: Host, limit: SlotLimit, now_s: float
) -> LenderView:
    lender = Lender(peer=peer_of(host), slot=slot)
    unknown = LenderView(level=limit.capacity, as_of_s=now_s)
    return account.lenders.get(lender, unknown)


def _may_ask(account: Account, slot: int, host: Host, now_s: float) -> bool:
    lender = Lender(peer=peer_of(host), slot=slot)
    view = account.lenders.get(lender)
    return view is None or view.avoid_until_s <= now_s


def _may_ask_ahead(account: Account, slot: int, host: Host, now_s: float) -> bool:
    view = account.lenders.get(Lender(peer=peer_of(host), slot=slot))
    return view is None or now_s - view.as_of_s >= AHEAD_ASK_INTERVAL_S
