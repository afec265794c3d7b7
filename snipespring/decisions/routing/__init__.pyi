from .choice import (
    Chosen,
    NoServer,
    ServersBusy,
    choose_server,
    count_server_uses,
)
from .limits import (
    answer_s_of,
    has_free_slots,
    list_answer_times,
    mean_work_s_of,
    work_s_of,
)
from .loads import (
    cancel_reservation,
    drain_check_at_s,
    estimate_busy_slots,
    failure_timeout_of,
    load_of,
    mean_busy_of_others,
    release_server,
    remove_unused_servers,
    reserve_server,
    service_load_of,
)
from .shares import draw_service
from .subsets import choose_subset, order_hosts
from .trials import count_recent_outcomes

__all__ = [
    "Chosen",
    "NoServer",
    "ServersBusy",
    "answer_s_of",
    "cancel_reservation",
    "choose_server",
    "choose_subset",
    "count_server_uses",
    "count_recent_outcomes",
    "drain_check_at_s",
    "draw_service",
    "estimate_busy_slots",
    "failure_timeout_of",
    "has_free_slots",
    "list_answer_times",
    "mean_work_s_of",
    "load_of",
    "mean_busy_of_others",
    "order_hosts",
    "release_server",
    "remove_unused_servers",
    "reserve_server",
    "service_load_of",
    "work_s_of",
]
