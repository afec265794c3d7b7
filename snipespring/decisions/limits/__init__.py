"""Divide each organisation's rate and burst among the hosts, and lend between them."""

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
    "InsufficientCredit",
    "LoanGranted",
    "MAX_CLOCK_DRIFT",
    "MAX_LOAN_LIFETIME_S",
    "OutgoingAsks",
    "Paid",
    "SLOT_COUNT",
    "StaleAsk",
    "adopt_roster",
    "all_shares_in_use_since_s",
    "available_credit",
    "deduct_from_share",
    "deduct_request",
    "end_wait",
    "follow_fence",
    "follow_roster",
    "handover_message",
    "leave_roster",
    "lend_credit",
    "lend_from_share",
    "lent_amount",
    "pay_for_request",
    "peer_of",
    "plan_borrowing",
    "receive_grants",
    "receive_handovers",
    "record_demand",
    "refers_to_newer_roster",
    "refill_account",
    "refill_share",
    "refresh_account",
    "retry_after_s",
    "slot_holders",
    "slot_limit",
    "sync_account",
]
