"""Tell sick backend servers from busy ones by the outcomes of real work."""

from .avoiding import (
    avoid_servers,
    drop_services,
)
from .ejecting import (
    EJECTION_LIFETIME_S,
    judge_pool,
)
from .evidence import (
    describe_service,
    record_end,
    record_start,
)
from .lists import (
    make_list,
    receive_list,
    states_in_force,
)
from .policies import (
    policy_of,
)
from .pooling import (
    absorb_report,
    open_pool,
)
from .reporting import (
    SentReport,
    is_due,
    select_changed,
)
from .states import (
    StateChange,
    combine_states,
    list_changes,
)
from .tenures import (
    find_holder,
    has_begun,
    renew_pool,
)

__all__ = [
    "EJECTION_LIFETIME_S",
    "SentReport",
    "StateChange",
    "absorb_report",
    "avoid_servers",
    "combine_states",
    "describe_service",
    "drop_services",
    "find_holder",
    "has_begun",
    "is_due",
    "judge_pool",
    "list_changes",
    "make_list",
    "open_pool",
    "policy_of",
    "receive_list",
    "record_end",
    "record_start",
    "renew_pool",
    "select_changed",
    "states_in_force",
]
