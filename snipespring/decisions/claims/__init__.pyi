from .claim_table import (
    look_up_claim,
    remove_expired_claims,
    store_claim,
)
from .claimant import (
    OwnerUnknown,
    end_from_reply,
    find_owner,
    interpret_answer,
    may_send,
    refuse_malformed,
    refuse_owner_unknown,
)
from .constants import (
    CLAIM_WINDOW_S,
)
from .handover import (
    collect_facts,
    receive_fact,
)
from .keys import (
    KeyAbsent,
    KeyMalformed,
    derive_issuing_key,
    digest_request,
    issue_prefix,
    read_claim_key,
    strips_claim_key,
)
from .owner import (
    answer_claim,
    receive_report,
)
from .reports import (
    add_report,
    apply_delivery_result,
    due_reports,
    next_due_s,
)
from .tenure import (
    advance_tenure,
    is_sole_owner,
    role_of,
)

__all__ = [
    "CLAIM_WINDOW_S",
    "KeyAbsent",
    "KeyMalformed",
    "OwnerUnknown",
    "add_report",
    "advance_tenure",
    "answer_claim",
    "apply_delivery_result",
    "collect_facts",
    "derive_issuing_key",
    "digest_request",
    "due_reports",
    "end_from_reply",
    "find_owner",
    "interpret_answer",
    "is_sole_owner",
    "issue_prefix",
    "look_up_claim",
    "may_send",
    "next_due_s",
    "read_claim_key",
    "receive_fact",
    "receive_report",
    "refuse_malformed",
    "refuse_owner_unknown",
    "remove_expired_claims",
    "role_of",
    "store_claim",
    "strips_claim_key",
]
