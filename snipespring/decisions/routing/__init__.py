"""Choose backend servers by load, failure domain and health."""

from .choice import Chosen, NoServer, ServersBusy, choose_server
from .loads import (
    cancel_reservation,
    drain_check_at_s,
    estimate_busy,
    forget_servers,
    load_of,
    mean_others,
    patience_of,
    release_server,
    reserve_server,
    service_load_of,
)
from .shares import draw_service
from .subsets import choose_subset, order_hosts

__all__ = [
    "Chosen",
    "NoServer",
    "ServersBusy",
    "cancel_reservation",
    "choose_server",
    "choose_subset",
    "drain_check_at_s",
    "draw_service",
    "estimate_busy",
    "forget_servers",
    "load_of",
    "mean_others",
    "patience_of",
    "order_hosts",
    "release_server",
    "reserve_server",
    "service_load_of",
]
