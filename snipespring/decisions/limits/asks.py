"""Decide when to borrow credit, from which holders and how much."""

from attrs import evolve, frozen

from ...records import Account, Host, Lender, LenderView, Peer, SlotLimit
from .accounts import current_demand_per_s, spendable
from .shares import AHEAD_PORTION, AHEAD_RESERVE
from .tenure import peer_of

__all__ = [
    "SILENT_AVOID_S",
    "CreditNeed",
    "PlannedAsk",
    "credit_need",
    "expected_credit",
    "may_wait",
    "next_ask_delay_s",
    "note_lender",
    "plan_asks",
    "waiting_limit",
]

AHEAD_S = 0.25
MIN_AHEAD = 1.0
MAX_WAITING = 16
MIN_REPEAT_S = 0.01
MAX_REPEAT_S = 0.5
AHEAD_REPEAT_S = 0.1
SILENT_AVOID_S = 0.5


@frozen(kw_only=True)
class CreditNeed:
    """Hold the credit wanted for waiting requests and for those expected."""

    urgent: float = 0.0
    ahead: float = 0.0


@frozen(kw_only=True)
class PlannedAsk:
    """Hold what to ask of one holder's slot."""

    slot: int
    host: Host
    urgent: float
    ahead: float


def credit_need(account: Account, *, now_s: float) -> CreditNeed:
    """Return the credit to borrow for an account grown to the present."""
    free = spendable(account) - account.waiting
    urgent = max(0.0, -free)
    wanted = current_demand_per_s(account, now_s=now_s) * AHEAD_S
    if wanted < MIN_AHEAD or free >= wanted / 2:
        return CreditNeed(urgent=urgent)
    return CreditNeed(urgent=urgent, ahead=wanted - max(0.0, free))


def plan_asks(
    account: Account,
    need: CreditNeed,
    limit: SlotLimit,
    own: Peer,
    *,
    busy: frozenset[Peer],
    now_s: float,
) -> tuple[PlannedAsk, ...]:
    """Return what to ask now of which holders, the fullest first."""
    asks: list[PlannedAsk] = []
    urgent, ahead = need.urgent, need.ahead
    for slot, host, expected in _rank_lenders(account, limit, own, now_s):
        if urgent <= 0 and ahead <= 0:
            break
        if peer_of(host) in busy or not _is_due(account, slot, host, now_s):
            continue
        part = min(urgent, max(expected, min(1.0, limit.capacity)))
        spare = expected - part - limit.capacity * AHEAD_RESERVE
        extra = min(ahead, max(0.0, spare) * AHEAD_PORTION)
        if part <= 0 and (
            extra < 1.0 or not _may_ask_ahead(account, slot, host, now_s)
        ):
            continue
        asks.append(PlannedAsk(slot=slot, host=host, urgent=part, ahead=extra))
        urgent -= part
        ahead -= extra
    return tuple(asks)


def note_lender(
    account: Account,
    lender: Lender,
    *,
    left: float,
    again_in_s: float,
    now_s: float,
) -> Account:
    """Return the account with what a lender said of its level and its next turn."""
    view = LenderView(level=left, as_of_s=now_s, avoid_until_s=now_s + again_in_s)
    return evolve(account, lenders=account.lenders.set(lender, view))


def next_ask_delay_s(
    account: Account, need: CreditNeed, limit: SlotLimit, own: Peer, *, now_s: float
) -> float:
    """Return seconds until some holder may be asked again."""
    if need.urgent <= 0:
        return AHEAD_REPEAT_S
    times_s = [
        _view(account, slot, host, limit, now_s).avoid_until_s
        for slot, host in _lenders(account, own)
    ]
    soonest_s = min(times_s, default=now_s + MAX_REPEAT_S)
    return min(max(soonest_s - now_s, MIN_REPEAT_S), MAX_REPEAT_S)


def expected_credit(
    account: Account, limit: SlotLimit, own: Peer, *, now_s: float
) -> float:
    """Return the credit here and, as last reported, at the holders."""
    return spendable(account) + sum(
        expected for _, _, expected in _rank_lenders(account, limit, own, now_s)
    )


def waiting_limit(
    account: Account, limit: SlotLimit, own: Peer, *, now_s: float
) -> int:
    """Return how many requests may wait for credit at a time."""
    expected = expected_credit(account, limit, own, now_s=now_s)
    return max(1, min(MAX_WAITING, int(expected)))


def may_wait(account: Account, limit: SlotLimit, own: Peer, *, now_s: float) -> bool:
    """Return whether one more request may wait for credit."""
    return account.waiting < waiting_limit(account, limit, own, now_s=now_s)


def _lenders(account: Account, own: Peer) -> list[tuple[int, Host]]:
    return [
        (slot, host)
        for slot, host in enumerate(account.holders)
        if peer_of(host) != own
    ]


def _rank_lenders(
    account: Account, limit: SlotLimit, own: Peer, now_s: float
) -> list[tuple[int, Host, float]]:
    entries = []
    for slot, host in _lenders(account, own):
        view = _view(account, slot, host, limit, now_s)
        grown = view.level + limit.rate_per_s * max(0.0, now_s - view.as_of_s)
        expected = min(limit.capacity, grown)
        entries.append((slot, host, expected))
    return sorted(entries, key=lambda entry: entry[2], reverse=True)


def _view(
    account: Account, slot: int, host: Host, limit: SlotLimit, now_s: float
) -> LenderView:
    lender = Lender(peer=peer_of(host), slot=slot)
    unknown = LenderView(level=limit.capacity, as_of_s=now_s)
    return account.lenders.get(lender, unknown)


def _is_due(account: Account, slot: int, host: Host, now_s: float) -> bool:
    lender = Lender(peer=peer_of(host), slot=slot)
    view = account.lenders.get(lender)
    return view is None or view.avoid_until_s <= now_s


def _may_ask_ahead(account: Account, slot: int, host: Host, now_s: float) -> bool:
    view = account.lenders.get(Lender(peer=peer_of(host), slot=slot))
    return view is None or now_s - view.as_of_s >= AHEAD_REPEAT_S
