"""Decide who may spend which part of an organisation's rate and burst."""

from .accounts import (
    available_credit,
    deduct_request,
    record_demand,
    refill_account,
    sync_account,
)
from .handovers import (
    adopt_roster,
    handover_message,
    leave_roster,
    receive_handovers,
    refers_to_newer_roster,
)
from .ledger import (
    BorrowingPlan,
    InsufficientCredit,
    OutgoingAsks,
    Paid,
    end_wait,
    lend_credit,
    pay_for_request,
    plan_borrowing,
    receive_grants,
    refresh_account,
    retry_after_s,
)
from .placement import (
    SLOT_COUNT,
    slot_holders,
)
from .shares import (
    MAX_CLOCK_DRIFT,
    MAX_LOAN_LIFETIME_S,
    LoanGranted,
    StaleAsk,
    deduct_from_share,
    lend_from_share,
    lent_amount,
    refill_share,
    slot_limit,
)
from .tenure import (
    all_shares_in_use_since_s,
    follow_fence,
    follow_roster,
    peer_of,
)

__all__ = [
    "BorrowingPlan",
    "MAX_CLOCK_DRIFT",
    "MAX_LOAN_LIFETIME_S",
    "LoanGranted",
    "OutgoingAsks",
    "Paid",
    "SLOT_COUNT",
    "InsufficientCredit",
    "StaleAsk",
    "adopt_roster",
    "all_shares_in_use_since_s",
    "end_wait",
    "follow_fence",
    "follow_roster",
    "refill_account",
    "refill_share",
    "handover_message",
    "refers_to_newer_roster",
    "leave_roster",
    "lend_credit",
    "lend_from_share",
    "lent_amount",
    "refresh_account",
    "pay_for_request",
    "peer_of",
    "plan_borrowing",
    "receive_grants",
    "record_demand",
    "retry_after_s",
    "slot_holders",
    "slot_limit",
    "deduct_request",
    "available_credit",
    "sync_account",
    "deduct_from_share",
    "receive_handovers",
]
