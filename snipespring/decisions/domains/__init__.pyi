from .addresses import AddressListLimits, offer_addresses
from .answers import (
    count_answers_by_server,
    count_server_answers,
    record_answers,
    sum_answers,
)
from .hubs import choose_hubs, is_hub
from .known_hosts import (
    find_known_host,
    has_unknown_host,
    list_known_hosts,
    list_outcome_recipients,
)
from .outcomes import (
    CollectOutcomes,
    SendDirectly,
    SendToHub,
    add_outcomes,
    choose_outcome_route,
    list_other_hubs,
)
from .usage import (
    RateTolerance,
    admit_request,
    count_usage,
    prune_usage,
    record_admission,
    record_request,
)
from .views import (
    make_digest,
    make_hub_state,
    make_request,
    make_summary,
    make_view,
    receive_report,
    receive_summary,
)

__all__ = [
    "AddressListLimits",
    "CollectOutcomes",
    "SendDirectly",
    "SendToHub",
    "add_outcomes",
    "choose_outcome_route",
    "list_other_hubs",
    "RateTolerance",
    "admit_request",
    "choose_hubs",
    "count_answers_by_server",
    "count_server_answers",
    "count_usage",
    "find_known_host",
    "has_unknown_host",
    "is_hub",
    "list_known_hosts",
    "list_outcome_recipients",
    "make_digest",
    "make_hub_state",
    "make_request",
    "make_summary",
    "make_view",
    "offer_addresses",
    "prune_usage",
    "receive_report",
    "receive_summary",
    "record_admission",
    "record_answers",
    "record_request",
    "sum_answers",
]
