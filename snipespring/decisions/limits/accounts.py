"""Compute the credit that one host may spend for one organisation.

Each organisation's rate limit is divided into slots, which the roster assigns to
hosts. An account contains this host's shares (the credit of the slots that it holds)
and the credit that it has borrowed from the holders of other slots.
"""

from math import exp

from attrs import evolve, frozen
from immutables import Map

from ...records import (
    Account,
    Credit,
    Host,
    Lender,
    LostShare,
    OrganisationName,
    Peer,
    RosterTransition,
    Share,
    SlotLimit,
)
from .placement import slot_holders
from .shares import deduct_from_share, refill_share
from .tenure import begin_time_s, peer_of

__all__ = [
    "SyncedAccount",
    "available_credit",
    "current_demand_per_s",
    "deduct_request",
    "record_demand",
    "refill_account",
    "sync_account",
]

DEMAND_WINDOW_S = 1.0


@frozen(kw_only=True)
class SyncedAccount:
    """Represent an account at the newest roster, and the shares that it lost since."""

    account: Account
    lost_shares: tuple[LostShare, ...] = ()


def sync_account(
    account: Account,
    organisation: OrganisationName,
    transitions: tuple[RosterTransition, ...],
    own_peer: Peer,
) -> SyncedAccount:
    """Return the account brought to the roster version of the last transition.

    A share remains only if this host holds its slot in every roster version from the
    account's version to the newest. Without transitions no share remains.
    """
    if not transitions:
        return SyncedAccount(account=evolve(account, shares=Map()))
    if account.roster_version == transitions[-1].roster.version:
        return SyncedAccount(
            account=_set_begin_times(account, organisation, transitions)
        )
    lost: list[LostShare] = []
    versions = [transition.roster.version for transition in transitions]
    if account.roster_version not in versions:
        holders = slot_holders(transitions[0].roster, organisation)
        lost += _lost_shares(account, holders, frozenset())
        account = _apply_transition(
            account, transitions[0], holders, own_peer, frozenset()
        )
    for transition in transitions[versions.index(account.roster_version) + 1 :]:
        holders = slot_holders(transition.roster, organisation)
        kept_slots = _slots_held_by(account.holders, own_peer) & _slots_held_by(
            holders, own_peer
        )
        lost += _lost_shares(account, holders, kept_slots)
        account = _apply_transition(account, transition, holders, own_peer, kept_slots)
    account = _set_begin_times(account, organisation, transitions)
    return SyncedAccount(account=account, lost_shares=tuple(lost))


def refill_account(account: Account, limit: SlotLimit, *, now_s: float) -> Account:
    """Return the account with refilled shares and without expired credit."""
    shares = account.shares
    for slot, share in account.shares.items():
        shares = shares.set(slot, refill_share(share, limit, now_s=now_s))
    borrowed = account.credits
    for lender, lender_credits in account.credits.items():
        valid = tuple(credit for credit in lender_credits if credit.until_s > now_s)
        if len(valid) == len(lender_credits):
            continue
        borrowed = borrowed.set(lender, valid) if valid else borrowed.delete(lender)
    return evolve(account, shares=shares, credits=borrowed)


def available_credit(account: Account) -> float:
    """Return the credit, in requests, of an account refilled up to now."""
    levels = sum(share.level for share in account.shares.values())
    borrowed = sum(
        credit.amount
        for lender_credits in account.credits.values()
        for credit in lender_credits
    )
    return levels + borrowed


def deduct_request(account: Account) -> Account | None:
    """Return the account after paying for one request, or None if credit is short.

    Borrowed credit is spent first, in the order in which it expires.
    """
    if available_credit(account) < 1.0:
        return None
    account, remaining = _spend_borrowed(account, 1.0)
    shares = account.shares
    for slot, share in shares.items():
        part = min(share.level, remaining)
        shares = shares.set(slot, deduct_from_share(share, part))
        remaining -= part
    return evolve(account, shares=shares)


def record_demand(account: Account, *, now_s: float) -> Account:
    """Return the account with one more request counted in its demand."""
    demand_per_s = current_demand_per_s(account, now_s=now_s) + 1.0 / DEMAND_WINDOW_S
    return evolve(account, demand_per_s=demand_per_s, demand_at_s=now_s)


def current_demand_per_s(account: Account, *, now_s: float) -> float:
    """Return the exponentially weighted rate of recent requests per second."""
    elapsed_s = max(0.0, now_s - account.demand_at_s)
    return account.demand_per_s * exp(-elapsed_s / DEMAND_WINDOW_S)


def _spend_borrowed(account: Account, remaining: float) -> tuple[Account, float]:
    borrowed = account.credits
    by_expiry = sorted(
        (
            (credit.until_s, lender)
            for lender in borrowed
            for credit in borrowed[lender]
        ),
        key=lambda entry: entry[0],
    )
    for until_s, lender in by_expiry:
        if remaining <= 0:
            break
        borrowed, remaining = _spend_lender_credit(borrowed, lender, until_s, remaining)
    return evolve(account, credits=borrowed), remaining


def _spend_lender_credit(
    borrowed: Map[Lender, tuple[Credit, ...]],
    lender: Lender,
    until_s: float,
    remaining: float,
) -> tuple[Map[Lender, tuple[Credit, ...]], float]:
    left: list[Credit] = []
    for credit in borrowed[lender]:
        part = min(credit.amount, remaining) if credit.until_s == until_s else 0.0
        remaining -= part
        if credit.amount > part:
            left.append(evolve(credit, amount=credit.amount - part))
    if not left:
        return borrowed.delete(lender), remaining
    return borrowed.set(lender, tuple(left)), remaining


def _set_begin_times(
    account: Account,
    organisation: OrganisationName,
    transitions: tuple[RosterTransition, ...],
) -> Account:
    shares = account.shares
    for slot, share in account.shares.items():
        if share.begins_at_s is not None:
            continue
        updated = _with_begin_time(share, slot, organisation, transitions)
        shares = shares.set(slot, updated)
    return evolve(account, shares=shares) if shares is not account.shares else account


def _with_begin_time(
    share: Share,
    slot: int,
    organisation: OrganisationName,
    transitions: tuple[RosterTransition, ...],
) -> Share:
    versions = [transition.roster.version for transition in transitions]
    if share.since_version not in versions:
        return share
    index = versions.index(share.since_version)
    previous = None
    if index > 0 and transitions[index].released:
        holders = slot_holders(transitions[index - 1].roster, organisation)
        previous = peer_of(holders[slot]) if holders else None
    begins_at_s = begin_time_s(transitions[index], previous)
    if begins_at_s is None:
        return share
    return evolve(share, begins_at_s=begins_at_s, as_of_s=begins_at_s)


def _apply_transition(
    account: Account,
    transition: RosterTransition,
    holders: tuple[Host, ...],
    own_peer: Peer,
    kept_slots: frozenset[int],
) -> Account:
    version = transition.roster.version
    new_share = Share(
        since_version=version, begins_at_s=None, as_of_s=transition.adopted_at_s
    )
    shares = {
        slot: account.shares[slot] if slot in kept_slots else new_share
        for slot in _slots_held_by(holders, own_peer)
    }
    return evolve(account, roster_version=version, holders=holders, shares=Map(shares))


def _slots_held_by(holders: tuple[Host, ...], peer: Peer) -> frozenset[int]:
    return frozenset(slot for slot, host in enumerate(holders) if peer_of(host) == peer)


def _lost_shares(
    account: Account, holders: tuple[Host, ...], kept_slots: frozenset[int]
) -> list[LostShare]:
    return [
        LostShare(
            slot=slot,
            share=share,
            last_held_version=account.roster_version,
            holder=holders[slot],
        )
        for slot, share in account.shares.items()
        if slot not in kept_slots and slot < len(holders)
    ]
