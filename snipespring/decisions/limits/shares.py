"""Compute the credit of one slot at its holder: growth, spending, lending."""

from math import floor

from attrs import evolve, frozen
from immutables import Map

from ...records import (
    CreditAsk,
    Loan,
    Loans,
    OrganisationRule,
    Peer,
    Share,
    SlotLimit,
)
from .placement import SLOTS

__all__ = [
    "AHEAD_HOLD_S",
    "CLOCK_DRIFT",
    "LOAN_WAIT_S",
    "URGENT_HOLD_S",
    "Lent",
    "StaleAsk",
    "grow_share",
    "lend_from_share",
    "lent_amount",
    "slot_limit",
    "take_from_share",
]

CLOCK_DRIFT = 0.001
URGENT_HOLD_S = 0.15
AHEAD_HOLD_S = 1.0
HOLD_MARGIN = 1.05
LOAN_WAIT_S = AHEAD_HOLD_S * HOLD_MARGIN
AHEAD_RESERVE = 0.5
AHEAD_PORTION = 0.5
MAX_TURN_S = 0.5
MESSAGE_LIFETIME_S = 60.0


@frozen(kw_only=True)
class Lent:
    """Hold the share after a loan and the amounts lent."""

    share: Share
    urgent: float
    ahead: float
    again_in_s: float


@frozen(kw_only=True)
class StaleAsk:
    """State that a later request of the same borrower came first."""


def slot_limit(rule: OrganisationRule) -> SlotLimit:
    """Return one slot's part of a rule, the rate reduced by the clocks' drift."""
    return SlotLimit(
        rate_per_s=rule.rate_per_s * (1.0 - CLOCK_DRIFT) / SLOTS,
        capacity=rule.burst / SLOTS,
    )


def grow_share(share: Share, limit: SlotLimit, *, now_s: float) -> Share:
    """Return the share at a time; level and loans stay within the capacity.

    Growth stops while they fill the capacity, so each loan's end is a step.
    """
    if share.begins_at_s is None or now_s <= share.as_of_s:
        return share
    ends_s = {loan.until_s for loan in _all_loans(share)}
    for end_s in sorted(end for end in ends_s if end < now_s):
        share = _drop_ended(_grow_to(share, limit, end_s), end_s)
    return _drop_ended(_grow_to(share, limit, now_s), now_s)


def take_from_share(share: Share, amount: float) -> Share:
    """Return the share without an amount of its level."""
    return evolve(share, level=max(0.0, share.level - amount))


def lend_from_share(
    share: Share,
    limit: SlotLimit,
    borrower: Peer,
    ask: CreditAsk,
    *,
    sequence: int,
    now_s: float,
) -> Lent | StaleAsk:
    """Lend what the level allows; credit ahead of need leaves half in reserve.

    What the borrower reports as unspent is all that it can still spend of
    earlier loans: it takes no grant that answers an earlier request.
    """
    held = share.lent.get(borrower, Loans(sequence=0))
    if sequence <= held.sequence:
        return StaleAsk()
    loans = _keep_latest(held.loans, max(0.0, ask.unspent))
    urgent = _whole_part(max(0.0, ask.urgent), share.level, limit)
    spare = share.level - urgent - limit.capacity * AHEAD_RESERVE
    ahead = min(max(0.0, ask.ahead), max(0.0, spare) * AHEAD_PORTION)
    added = (
        Loan(amount=urgent, until_s=now_s + URGENT_HOLD_S * HOLD_MARGIN),
        Loan(amount=ahead, until_s=now_s + AHEAD_HOLD_S * HOLD_MARGIN),
    )
    loans += tuple(loan for loan in added if loan.amount > 0)
    renewed = Loans(sequence=sequence, asked_at_s=now_s, loans=loans)
    lent = _forget_silent(share.lent, now_s).set(borrower, renewed)
    left = take_from_share(evolve(share, lent=lent), urgent + ahead)
    again_in_s = _turn_s(lent, limit, now_s)
    return Lent(share=left, urgent=urgent, ahead=ahead, again_in_s=again_in_s)


def lent_amount(share: Share) -> float:
    """Return what borrowers may still hold of the share."""
    return sum(loan.amount for loan in _all_loans(share))


def _all_loans(share: Share) -> list[Loan]:
    lent = [loan for held in share.lent.values() for loan in held.loans]
    return [*lent, *share.inherited]


def _whole_part(wanted: float, level: float, limit: SlotLimit) -> float:
    if level >= wanted or limit.capacity < 1.0:
        return min(wanted, level)
    return float(floor(level))


def _turn_s(lent: Map[Peer, Loans], limit: SlotLimit, now_s: float) -> float:
    recent = sum(held.asked_at_s > now_s - MAX_TURN_S for held in lent.values())
    return min(MAX_TURN_S, recent / limit.rate_per_s)


def _forget_silent(lent: Map[Peer, Loans], now_s: float) -> Map[Peer, Loans]:
    for borrower, held in lent.items():
        if not held.loans and held.asked_at_s < now_s - MESSAGE_LIFETIME_S:
            lent = lent.delete(borrower)
    return lent


def _grow_to(share: Share, limit: SlotLimit, time_s: float) -> Share:
    elapsed_s = max(0.0, time_s - share.as_of_s)
    room = max(0.0, limit.capacity - lent_amount(share))
    level = min(share.level + limit.rate_per_s * elapsed_s, room)
    return evolve(share, level=level, as_of_s=max(share.as_of_s, time_s))


def _drop_ended(share: Share, time_s: float) -> Share:
    lent = share.lent
    for borrower, held in share.lent.items():
        loans = tuple(loan for loan in held.loans if loan.until_s > time_s)
        if len(loans) != len(held.loans):
            lent = lent.set(borrower, evolve(held, loans=loans))
    inherited = tuple(loan for loan in share.inherited if loan.until_s > time_s)
    return evolve(share, lent=lent, inherited=inherited)


def _keep_latest(loans: tuple[Loan, ...], amount: float) -> tuple[Loan, ...]:
    kept: list[Loan] = []
    for loan in sorted(loans, key=lambda loan: loan.until_s, reverse=True):
        part = min(loan.amount, amount)
        if part <= 0:
            break
        kept.append(evolve(loan, amount=part))
        amount -= part
    return tuple(kept)
