"""Update a host's ledger as it spends, borrows or lends an organisation's credit."""

from collections.abc import Mapping

from attrs import evolve, frozen

from ...records import (
    Account,
    Credit,
    CreditAsk,
    CreditAsks,
    CreditGrant,
    CreditGrants,
    Host,
    Lender,
    OrganisationName,
    OrganisationRule,
    Peer,
    ShareLedger,
)
from .accounts import (
    available_credit,
    deduct_request,
    record_demand,
    refill_account,
    sync_account,
)
from .borrowing import (
    NO_REPLY_BACKOFF_S,
    REFUSAL_BACKOFF_S,
    PlannedAsk,
    credit_need,
    may_wait,
    next_ask_delay_s,
    plan_asks,
    record_lender,
)
from .shares import (
    AHEAD_CREDIT_LIFETIME_S,
    MAX_LOAN_LIFETIME_S,
    URGENT_CREDIT_LIFETIME_S,
    LoanGranted,
    StaleAsk,
    lend_from_share,
    slot_limit,
)
from .tenure import peer_of

__all__ = [
    "BorrowingPlan",
    "InsufficientCredit",
    "OutgoingAsks",
    "Paid",
    "end_wait",
    "lend_credit",
    "pay_for_request",
    "plan_borrowing",
    "receive_grants",
    "refresh_account",
    "retry_after_s",
]

PAYMENT_VALIDITY_S = 0.02

Rules = Mapping[OrganisationName, OrganisationRule]


@frozen(kw_only=True)
class Paid:
    """Report that one request was paid for, and whether credit must be borrowed.

    The request may be admitted under this payment only before `until_s`.
    """

    is_low: bool
    until_s: float


@frozen(kw_only=True)
class InsufficientCredit:
    """Report that the credit does not cover one request.

    `ready_in_s` is the time until this host's own shares cover it, without
    credit from other hosts.
    """

    may_wait: bool
    ready_in_s: float


@frozen(kw_only=True)
class OutgoingAsks:
    """Represent a message that asks for credit, with its recipient `host`."""

    host: Host
    message: CreditAsks
    sent_at_s: float


@frozen(kw_only=True)
class BorrowingPlan:
    """List the messages to send and the organisations that need credit.

    The next plan is due in `again_in_s` seconds; None if no organisation needs credit.
    """

    outgoing: tuple[OutgoingAsks, ...] = ()
    organisations_in_need: frozenset[OrganisationName] = frozenset()
    again_in_s: float | None = None


def refresh_account(
    ledger: ShareLedger,
    organisation: OrganisationName,
    rule: OrganisationRule,
    own_peer: Peer,
    *,
    now_s: float,
) -> Account:
    """Return the organisation's account at the newest roster, refilled up to now."""
    account = ledger.accounts.get(organisation, Account())
    account = sync_account(account, organisation, ledger.transitions, own_peer).account
    return refill_account(account, slot_limit(rule), now_s=now_s)


def pay_for_request(
    ledger: ShareLedger,
    rule: OrganisationRule,
    own_peer: Peer,
    *,
    is_waiting: bool,
    now_s: float,
) -> tuple[ShareLedger, Paid | InsufficientCredit]:
    """Pay for one request, or let it wait for credit if the account is short.

    `is_waiting` tells that the request was already counted as waiting.
    """
    limit = slot_limit(rule)
    account = refresh_account(ledger, rule.name, rule, own_peer, now_s=now_s)
    if not is_waiting:
        account = record_demand(account, now_s=now_s)
    paid = deduct_request(account)
    if paid is not None:
        need = credit_need(paid, limit, now_s=now_s)
        is_low = need.urgent > 0 or need.ahead > 0
        until_s = min(now_s + PAYMENT_VALIDITY_S, _earliest_credit_end_s(account))
        return _with_account(ledger, rule.name, paid), Paid(
            is_low=is_low, until_s=until_s
        )
    can_wait = is_waiting or may_wait(account, limit, own_peer, now_s=now_s)
    if can_wait and not is_waiting:
        account = evolve(account, waiting=account.waiting + 1)
    short = InsufficientCredit(may_wait=can_wait, ready_in_s=_ready_in_s(account, rule))
    return _with_account(ledger, rule.name, account), short


def end_wait(ledger: ShareLedger, organisation: OrganisationName) -> ShareLedger:
    """Return the ledger with one waiting request fewer."""
    account = ledger.accounts.get(organisation)
    if account is None:
        return ledger
    waiting = max(0, account.waiting - 1)
    return _with_account(ledger, organisation, evolve(account, waiting=waiting))


def plan_borrowing(
    ledger: ShareLedger,
    rules: Rules,
    own_peer: Peer,
    *,
    unanswered_peers: frozenset[Peer],
    now_s: float,
) -> tuple[ShareLedger, BorrowingPlan]:
    """Plan at most one message to each slot holder, for all organisations together.

    The messages ask for credit of the organisations that are short of it.
    """
    by_host: dict[Host, list[CreditAsk]] = {}
    organisations_in_need: set[OrganisationName] = set()
    delays_s: list[float] = []
    for name, rule in rules.items():
        limit = slot_limit(rule)
        account = refresh_account(ledger, name, rule, own_peer, now_s=now_s)
        ledger = _with_account(ledger, name, account)
        need = credit_need(account, limit, now_s=now_s)
        if need.urgent <= 0 and need.ahead <= 0:
            continue
        organisations_in_need.add(name)
        delays_s.append(next_ask_delay_s(account, need, limit, own_peer, now_s=now_s))
        for planned in plan_asks(
            account,
            need,
            limit,
            own_peer,
            unanswered_peers=unanswered_peers,
            now_s=now_s,
        ):
            ask = CreditAsk(
                organisation=name,
                slot=planned.slot,
                unspent=_unspent_credit(account, planned.host, planned.slot),
                urgent=planned.urgent,
                ahead=planned.ahead,
            )
            by_host.setdefault(planned.host, []).append(ask)
            account = _add_pending(account, planned)
        ledger = _with_account(ledger, name, account)
    outgoing: list[OutgoingAsks] = []
    sequence = ledger.sequence
    for host, asks in by_host.items():
        sequence += 1
        message = CreditAsks(sender=own_peer, sequence=sequence, asks=tuple(asks))
        outgoing.append(OutgoingAsks(host=host, message=message, sent_at_s=now_s))
    plan = BorrowingPlan(
        outgoing=tuple(outgoing),
        organisations_in_need=frozenset(organisations_in_need),
        again_in_s=min(delays_s, default=None),
    )
    return evolve(ledger, sequence=sequence), plan


def lend_credit(
    ledger: ShareLedger,
    message: CreditAsks,
    rules: Rules,
    own_peer: Peer,
    *,
    now_s: float,
) -> tuple[ShareLedger, CreditGrants]:
    """Lend credit from this host's shares; an ask for any other share gets nothing."""
    grants: list[CreditGrant] = []
    for ask in message.asks:
        ledger, grant = _lend_for_ask(ledger, message, ask, rules, own_peer, now_s)
        grants.append(grant)
    return ledger, CreditGrants(grants=tuple(grants))


def receive_grants(
    ledger: ShareLedger,
    sent: OutgoingAsks,
    reply: CreditGrants | None,
    *,
    now_s: float,
) -> ShareLedger:
    """Add borrowed credit, whose lifetime counts from when the request was sent.

    A reply of None stands for a lender that did not answer.
    """
    grants = (
        {} if reply is None else {(g.organisation, g.slot): g for g in reply.grants}
    )
    peer = Peer(host_id=sent.host.host_id, incarnation=sent.host.incarnation)
    for ask in sent.message.asks:
        account = ledger.accounts.get(ask.organisation)
        if account is None:
            continue
        lender = Lender(peer=peer, slot=ask.slot)
        grant = grants.get((ask.organisation, ask.slot))
        if lender in account.pending:
            account = evolve(account, pending=account.pending.delete(lender))
        account = _apply_grant(account, lender, ask, grant, sent.sent_at_s, now_s)
        ledger = _with_account(ledger, ask.organisation, account)
    return ledger


def retry_after_s(rule: OrganisationRule) -> float:
    """Return the seconds in which the organisation's rate yields one request."""
    return 1.0 / rule.rate_per_s


def _lend_for_ask(
    ledger: ShareLedger,
    message: CreditAsks,
    ask: CreditAsk,
    rules: Rules,
    own_peer: Peer,
    now_s: float,
) -> tuple[ShareLedger, CreditGrant]:
    refusal = CreditGrant(
        organisation=ask.organisation,
        slot=ask.slot,
        urgent=0.0,
        ahead=0.0,
        left=0.0,
        again_in_s=REFUSAL_BACKOFF_S,
    )
    rule = rules.get(ask.organisation)
    if rule is None:
        return ledger, refusal
    account = refresh_account(ledger, ask.organisation, rule, own_peer, now_s=now_s)
    share = account.shares.get(ask.slot)
    if share is None:
        return _with_account(ledger, ask.organisation, account), refusal
    lent = lend_from_share(
        share,
        slot_limit(rule),
        message.sender,
        ask,
        sequence=message.sequence,
        now_s=now_s,
    )
    match lent:
        case StaleAsk():
            return _with_account(ledger, ask.organisation, account), refusal
        case LoanGranted(share=share_after) as lent:
            grant = evolve(
                refusal,
                urgent=lent.urgent,
                ahead=lent.ahead,
                left=share_after.level,
                again_in_s=lent.again_in_s,
            )
            account = evolve(account, shares=account.shares.set(ask.slot, share_after))
            ledger = evolve(ledger, loans_until_s=now_s + MAX_LOAN_LIFETIME_S)
            return _with_account(ledger, ask.organisation, account), grant


def _apply_grant(
    account: Account,
    lender: Lender,
    ask: CreditAsk,
    grant: CreditGrant | None,
    sent_at_s: float,
    now_s: float,
) -> Account:
    if grant is None:
        return record_lender(
            account, lender, left=0.0, again_in_s=NO_REPLY_BACKOFF_S, now_s=now_s
        )
    account = _add_credits(account, lender, grant, sent_at_s)
    again_in_s = grant.again_in_s if grant.urgent < ask.urgent else 0.0
    return record_lender(
        account, lender, left=grant.left, again_in_s=again_in_s, now_s=now_s
    )


def _add_credits(
    account: Account, lender: Lender, grant: CreditGrant, sent_at_s: float
) -> Account:
    added = (
        Credit(amount=grant.urgent, until_s=sent_at_s + URGENT_CREDIT_LIFETIME_S),
        Credit(amount=grant.ahead, until_s=sent_at_s + AHEAD_CREDIT_LIFETIME_S),
    )
    lender_credits = account.credits.get(lender, ())
    lender_credits += tuple(credit for credit in added if credit.amount > 0)
    if not lender_credits:
        return account
    return evolve(account, credits=account.credits.set(lender, lender_credits))


def _earliest_credit_end_s(account: Account) -> float:
    ends_s = [
        credit.until_s
        for lender_credits in account.credits.values()
        for credit in lender_credits
    ]
    return min(ends_s, default=float("inf"))


def _add_pending(account: Account, planned: PlannedAsk) -> Account:
    lender = Lender(peer=peer_of(planned.host), slot=planned.slot)
    amount = planned.urgent + planned.ahead
    return evolve(account, pending=account.pending.set(lender, amount))


def _unspent_credit(account: Account, host: Host, slot: int) -> float:
    peer = Peer(host_id=host.host_id, incarnation=host.incarnation)
    lender_credits = account.credits.get(Lender(peer=peer, slot=slot), ())
    return sum(credit.amount for credit in lender_credits)


def _ready_in_s(account: Account, rule: OrganisationRule) -> float:
    begun = [
        share for share in account.shares.values() if share.begins_at_s is not None
    ]
    if not begun:
        return float("inf")
    missing = max(0.0, 1.0 - available_credit(account))
    return missing / (slot_limit(rule).rate_per_s * len(begun))


def _with_account(
    ledger: ShareLedger, organisation: OrganisationName, account: Account
) -> ShareLedger:
    return evolve(ledger, accounts=ledger.accounts.set(organisation, account))
