"""Decide who may spend which part of an organisation's rate and burst."""

from .accounts import (
    grow_account,
    record_demand,
    spend_one,
    spendable,
    sync_account,
)
from .handovers import (
    adopt_roster,
    handover_message,
    is_ahead_of_roster,
    leave_roster,
    take_handovers,
)
from .ledger import (
    AskPlan,
    OutgoingAsks,
    Paid,
    Short,
    end_wait,
    lend_credit,
    open_account,
    pay_for_request,
    plan_borrowing,
    receive_grants,
    retry_after_s,
)
from .placement import (
    SLOTS,
    slot_holders,
)
from .shares import (
    CLOCK_DRIFT,
    LOAN_WAIT_S,
    Lent,
    StaleAsk,
    grow_share,
    lend_from_share,
    lent_amount,
    slot_limit,
    take_from_share,
)
from .tenure import (
    all_shares_since_s,
    follow_fence,
    follow_roster,
    peer_of,
)

__all__ = [
    "AskPlan",
    "CLOCK_DRIFT",
    "LOAN_WAIT_S",
    "Lent",
    "OutgoingAsks",
    "Paid",
    "SLOTS",
    "Short",
    "StaleAsk",
    "adopt_roster",
    "all_shares_since_s",
    "end_wait",
    "follow_fence",
    "follow_roster",
    "grow_account",
    "grow_share",
    "handover_message",
    "is_ahead_of_roster",
    "leave_roster",
    "lend_credit",
    "lend_from_share",
    "lent_amount",
    "open_account",
    "pay_for_request",
    "peer_of",
    "plan_borrowing",
    "receive_grants",
    "record_demand",
    "retry_after_s",
    "slot_holders",
    "slot_limit",
    "spend_one",
    "spendable",
    "sync_account",
    "take_from_share",
    "take_handovers",
]
