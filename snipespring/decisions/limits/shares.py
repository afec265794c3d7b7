"""Compute the credit of one slot at its holder: refill, spending, lending."""

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
    "deduct_from_share",
    "lend_from_share",
    "lent_amount",
    "refill_share",
    "slot_limit",
]

# How much a clock may run fast or slow, as a fraction of the elapsed time.
MAX_CLOCK_DRIFT = 0.001
URGENT_CREDIT_LIFETIME_S = 0.04
AHEAD_CREDIT_LIFETIME_S = 1.0
# A loan stays open at the lender longer than the borrower may spend the credit,
# also if the borrower's clock is the slowest and the lender's the fastest.
LOAN_LIFETIME_FACTOR = 1.05
MAX_LOAN_LIFETIME_S = AHEAD_CREDIT_LIFETIME_S * LOAN_LIFETIME_FACTOR
AHEAD_RESERVED_FRACTION = 0.5
AHEAD_LENT_FRACTION = 0.5
MAX_RETRY_DELAY_S = 0.2
MESSAGE_LIFETIME_S = 60.0


@frozen(kw_only=True)
class LoanGranted:
    """Represent the share after a loan, and the amounts lent.

    `urgent` is lent for waiting requests, `ahead` for expected ones. The borrower
    should ask for missing credit again after `again_in_s` seconds.
    """

    share: Share
    urgent: float
    ahead: float
    again_in_s: float


@frozen(kw_only=True)
class StaleAsk:
    """Report that a message is not newer than the borrower's last one."""


def slot_limit(rule: OrganisationRule) -> SlotLimit:
    """Return one slot's part of an organisation's limit.

    The rate is reduced, so that a clock that runs fast does not exceed the limit.
    """
    return SlotLimit(
        rate_per_s=rule.rate_per_s * (1.0 - MAX_CLOCK_DRIFT) / SLOT_COUNT,
        capacity=rule.burst / SLOT_COUNT,
    )


def refill_share(share: Share, limit: SlotLimit, *, now_s: float) -> Share:
    """Return the share refilled up to a time.

    The level and the open loans together never exceed the capacity. While they
    fill it the level does not rise, so the refill goes from the end of one loan
    to the end of the next.
    """
    if share.begins_at_s is None or now_s <= share.as_of_s:
        return share
    ends_s = {loan.until_s for loan in _all_loans(share)}
    for end_s in sorted(end for end in ends_s if end < now_s):
        share = _remove_ended_loans(_refill_until(share, limit, end_s), end_s)
    return _remove_ended_loans(_refill_until(share, limit, now_s), now_s)


def deduct_from_share(share: Share, amount: float) -> Share:
    """Return the share with its level reduced by an amount."""
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
    """Lend what the share's level allows.

    Credit lent ahead of need leaves half of the capacity in reserve. Earlier
    loans are reduced to what the borrower reports as unspent: the borrower accepts
    no grant that answers an earlier message, so it can spend no more of these loans.
    """
    previous = share.lent.get(borrower, Loans(sequence=0))
    if sequence <= previous.sequence:
        return StaleAsk()
    loans = _latest_loans(previous.loans, max(0.0, ask.unspent))
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
    updated = Loans(sequence=sequence, asked_at_s=now_s, loans=loans)
    lent = _remove_inactive_borrowers(share.lent, now_s).set(borrower, updated)
    share_after = deduct_from_share(evolve(share, lent=lent), urgent + ahead)
    again_in_s = _retry_delay_s(lent, limit, now_s)
    return LoanGranted(
        share=share_after, urgent=urgent, ahead=ahead, again_in_s=again_in_s
    )


def lent_amount(share: Share) -> float:
    """Return the amount of open loans of the share."""
    return sum(loan.amount for loan in _all_loans(share))


def _all_loans(share: Share) -> list[Loan]:
    lent = [loan for borrowed in share.lent.values() for loan in borrowed.loans]
    return [*lent, *share.inherited]


def _grantable_urgent(wanted: float, level: float, limit: SlotLimit) -> float:
    if level >= wanted or limit.capacity < 1.0:
        return min(wanted, level)
    return float(floor(level))


def _retry_delay_s(lent: Map[Peer, Loans], limit: SlotLimit, now_s: float) -> float:
    recent = sum(
        borrowed.asked_at_s > now_s - MAX_RETRY_DELAY_S for borrowed in lent.values()
    )
    return min(MAX_RETRY_DELAY_S, recent / limit.rate_per_s)


def _remove_inactive_borrowers(
    lent: Map[Peer, Loans], now_s: float
) -> Map[Peer, Loans]:
    for borrower, borrowed in lent.items():
        if not borrowed.loans and borrowed.asked_at_s < now_s - MESSAGE_LIFETIME_S:
            lent = lent.delete(borrower)
    return lent


def _refill_until(share: Share, limit: SlotLimit, time_s: float) -> Share:
    elapsed_s = max(0.0, time_s - share.as_of_s)
    max_level = max(0.0, limit.capacity - lent_amount(share))
    level = min(share.level + limit.rate_per_s * elapsed_s, max_level)
    return evolve(share, level=level, as_of_s=max(share.as_of_s, time_s))


def _remove_ended_loans(share: Share, time_s: float) -> Share:
    lent = share.lent
    for borrower, borrowed in share.lent.items():
        loans = tuple(loan for loan in borrowed.loans if loan.until_s > time_s)
        if len(loans) != len(borrowed.loans):
            lent = lent.set(borrower, evolve(borrowed, loans=loans))
    inherited = tuple(loan for loan in share.inherited if loan.until_s > time_s)
    return evolve(share, lent=lent, inherited=inherited)


def _latest_loans(loans: tuple[Loan, ...], amount: float) -> tuple[Loan, ...]:
    latest: list[Loan] = []
    for loan in sorted(loans, key=lambda loan: loan.until_s, reverse=True):
        part = min(loan.amount, amount)
        if part <= 0:
            break
        latest.append(evolve(loan, amount=part))
        amount -= part
    return tuple(latest)
