"""Share usage, outcomes and liveness between hosts through a hub a domain."""

from .addresses import AddressBounds, offer_addresses
from .answers import answers_of, count_answers, log_answers, sum_answers
from .hubs import choose_hubs, is_hub
from .known import list_known, list_receivers
from .usage import (
    UsageBounds,
    admit_usage,
    count_usage,
    log_admitted,
    log_asked,
    prune_usage,
)
from .views import (
    hear_report,
    hear_summary,
    make_digest,
    make_summary,
    make_view,
    view_of_digest,
)

__all__ = [
    "AddressBounds",
    "UsageBounds",
    "admit_usage",
    "answers_of",
    "choose_hubs",
    "count_answers",
    "count_usage",
    "log_answers",
    "sum_answers",
    "hear_report",
    "hear_summary",
    "is_hub",
    "list_known",
    "list_receivers",
    "log_admitted",
    "log_asked",
    "make_digest",
    "make_summary",
    "make_view",
    "offer_addresses",
    "prune_usage",
    "view_of_digest",
]
