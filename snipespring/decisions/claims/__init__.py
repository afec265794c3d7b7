"""Decide who may run a request that must run at most once."""

from .asking import (
    OwnerGone,
    find_owner,
    judge_answer,
    may_send,
    record_end,
    refuse_gone,
    refuse_malformed,
)
from .handover import (
    collect_facts,
    take_fact,
)
from .keys import (
    KeyAbsent,
    KeyMalformed,
    derive_issuing_key,
    digest_request,
    issue_prefix,
    loses_claim_key,
    read_claim_key,
)
from .limits import (
    CLAIM_WINDOW_S,
)
from .memory import (
    recall,
    remember,
    sweep,
)
from .owning import (
    answer_claim,
    take_report,
)
from .reports import (
    add_report,
    due_reports,
    next_due_s,
    settle_reports,
)
from .tenure import (
    advance_tenure,
    is_settled,
    role_of,
)

__all__ = [
    "CLAIM_WINDOW_S",
    "KeyAbsent",
    "KeyMalformed",
    "OwnerGone",
    "add_report",
    "advance_tenure",
    "answer_claim",
    "collect_facts",
    "derive_issuing_key",
    "digest_request",
    "due_reports",
    "find_owner",
    "is_settled",
    "issue_prefix",
    "judge_answer",
    "loses_claim_key",
    "may_send",
    "next_due_s",
    "read_claim_key",
    "recall",
    "record_end",
    "refuse_gone",
    "refuse_malformed",
    "remember",
    "role_of",
    "settle_reports",
    "sweep",
    "take_fact",
    "take_report",
]
