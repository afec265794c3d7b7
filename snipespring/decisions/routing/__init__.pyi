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
    route_load_of,
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
from .warmup import WarmupBounds, begin_warmups, cold_rate_per_s, is_cold

__all__ = [
    "Chosen",
    "NoServer",
    "ServersBusy",
    "WarmupBounds",
    "answer_s_of",
    "begin_warmups",
    "cancel_reservation",
    "choose_server",
    "choose_subset",
    "count_server_uses",
    "count_recent_outcomes",
    "cold_rate_per_s",
    "drain_check_at_s",
    "draw_service",
    "estimate_busy_slots",
    "failure_timeout_of",
    "has_free_slots",
    "is_cold",
    "list_answer_times",
    "load_of",
    "mean_busy_of_others",
    "mean_work_s_of",
    "order_hosts",
    "release_server",
    "remove_unused_servers",
    "reserve_server",
    "route_load_of",
    "service_load_of",
    "work_s_of",
]
