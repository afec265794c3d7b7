from .choice import (
    Chosen,
    NoServer,
    ServersBusy,
    choose_server,
    count_server_uses,
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
    "is_cold",
    "load_of",
    "mean_busy_of_others",
    "order_hosts",
    "release_server",
    "remove_unused_servers",
    "reserve_server",
    "service_load_of",
]
