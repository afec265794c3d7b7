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
from .placement import SLOT_COUNT

__all__ = [
    "AHEAD_CREDIT_LIFETIME_S",
    "MAX_CLOCK_DRIFT",
    "MAX_LOAN_LIFETIME_S",
    "URGENT_CREDIT_LIFETIME_S",
    "LoanGranted",
    "StaleAsk",
    "refill_share",
    "lend_from_share",
    "lent_amount",
    "slot_limit",
    "deduct_from_share",
]

MAX_CLOCK_DRIFT = 0.001
URGENT_CREDIT_LIFETIME_S = 0.04
AHEAD_CREDIT_LIFETIME_S = 1.0
LOAN_LIFETIME_FACTOR = 1.05
MAX_LOAN_LIFETIME_S = AHEAD_CREDIT_LIFETIME_S * LOAN_LIFETIME_FACTOR
AHEAD_RESERVED_FRACTION = 0.5
AHEAD_LENT_FRACTION = 0.5
MAX_RETRY_DELAY_S = 0.2
MESSAGE_LIFETIME_S = 60.0


@frozen(kw_only=True)
class LoanGranted:
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
        rate_per_s=rule.rate_per_s * (1.0 - MAX_CLOCK_DRIFT) / SLOT_COUNT,
        capacity=rule.burst / SLOT_COUNT,
    )


def refill_share(share: Share, limit: SlotLimit, *, now_s: float) -> Share:
    """Return the share at a time; level and loans stay within the capacity.

    Growth stops while they fill the capacity, so each loan's end is a step.
    """
    if share.begins_at_s is None or now_s <= share.as_of_s:
        return share
    ends_s = {loan.until_s for loan in _all_loans(share)}
    for end_s in sorted(end for end in ends_s if end < now_s):
        share = _remove_ended_loans(_refill_until(share, limit, end_s), end_s)
    return _remove_ended_loans(_refill_until(share, limit, now_s), now_s)


def deduct_from_share(share: Share, amount: float) -> Share:
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
) -> LoanGranted | StaleAsk:
    """Lend what the level allows; credit ahead of need leaves half in reserve.

    What the borrower reports as unspent is all that it can still spend of
    earlier loans: it takes no grant that answers an earlier request.
    """
    held = share.lent.get(borrower, Loans(sequence=0))
    if sequence <= held.sequence:
        return StaleAsk()
    loans = _latest_loans(held.loans, max(0.0, ask.unspent))
    urgent = _grantable_urgent(max(0.0, ask.urgent), share.level, limit)
    spare = share.level - urgent - limit.capacity * AHEAD_RESERVED_FRACTION
    ahead = min(max(0.0, ask.ahead), max(0.0, spare) * AHEAD_LENT_FRACTION)
    added = (
        Loan(
            amount=urgent,
            until_s=now_s + URGENT_CREDIT_LIFETIME_S * LOAN_LIFETIME_FACTOR,
        ),
        Loan(
            amount=ahead, until_s=now_s + AHEAD_CREDIT_LIFETIME_S * LOAN_LIFETIME_FACTOR
        ),
    )
    loans += tuple(loan for loan in added if loan.amount > 0)
    renewed = Loans(sequence=sequence, asked_at_s=now_s, loans=loans)
    lent = _remove_inactive_borrowers(share.lent, now_s).set(borrower, renewed)
    left = deduct_from_share(evolve(share, lent=lent), urgent + ahead)
    again_in_s = _retry_delay_s(lent, limit, now_s)
    return LoanGranted(share=left, urgent=urgent, ahead=ahead, again_in_s=again_in_s)


def lent_amount(share: Share) -> float:
    """Return what borrowers may still hold of the share."""
    return sum(loan.amount for loan in _all_loans(share))


def _all_loans(share: Share) -> list[Loan]:
    lent = [loan for held in share.lent.values() for loan in held.loans]
    return [*lent, *share.inherited]


def _grantable_urgent(wanted: float, level: float, limit: SlotLimit) -> float:
    if level >= wanted or limit.capacity < 1.0:
        return min(wanted, level)
    return float(floor(level))


def _retry_delay_s(lent: Map[Peer, Loans], limit: SlotLimit, now_s: float) -> float:
    recent = sum(held.asked_at_s > now_s - MAX_RETRY_DELAY_S for held in lent.values())
    return min(MAX_RETRY_DELAY_S, recent / limit.rate_per_s)


def _remove_inactive_borrowers(
    lent: Map[Peer, Loans], now_s: float
) -> Map[Peer, Loans]:
    for borrower, held in lent.items():
        if not held.loans and held.asked_at_s < now_s - MESSAGE_LIFETIME_S:
            lent = lent.delete(borrower)
    return lent


def _refill_until(share: Share, limit: SlotLimit, time_s: float) -> Share:
    elapsed_s = max(0.0, time_s - share.as_of_s)
    room = max(0.0, limit.capacity - lent_amount(share))
    level = min(share.level + limit.rate_per_s * elapsed_s, room)
    return evolve(share, level=level, as_of_s=max(share.as_of_s, time_s))


def _remove_ended_loans(share: Share, time_s: float) -> Share:
    lent = share.lent
    for borrower, held in share.lent.items():
        loans = tuple(loan for loan in held.loans if loan.until_s > time_s)
        if len(loans) != len(held.loans):
            lent = lent.set(borrower, evolve(held, loans=loans))
    inherited = tuple(loan for loan in share.inherited if loan.until_s > time_s)
    return evolve(share, lent=lent, inherited=inherited)


def _latest_loans(loans: tuple[Loan, ...], amount: float) -> tuple[Loan, ...]:
    kept: list[Loan] = []
    for loan in sorted(loans, key=lambda loan: loan.until_s, reverse=True):
        part = min(loan.amount, amount)
        if part <= 0:
            break
        kept.append(evolve(loan, amount=part))
        amount -= part
    return tuple(kept)
