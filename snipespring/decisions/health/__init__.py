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
    list_services,
    record_end,
    record_start,
)
from .floors import (
    leaves_floor,
    list_out,
    required_servers,
)
from .histograms import (
    add_duration,
    bucket_of,
    bucket_start_s,
    count_from,
    total_of,
)
from .lists import (
    make_list,
    receive_list,
    states_in_force,
)
from .paths import (
    is_server_fault,
)
from .policies import (
    policy_of,
)
from .pooling import (
    absorb_report,
    count_bad,
    count_good,
    open_pool,
)
from .reporting import (
    SentReport,
    is_due,
    select_changed,
)
from .scoring import (
    log_ratio,
    score_servers,
    share_in_service,
    sick_share,
    sum_tallies,
)
from .states import (
    StateChange,
    combine_states,
    list_changes,
)
from .suspects import (
    list_suspects,
)
from .tenures import (
    find_holder,
    has_begun,
    renew_pool,
)
from .trials import (
    advance_entry,
    hold_again,
    hold_duration_s,
)

__all__ = [
    "EJECTION_LIFETIME_S",
    "SentReport",
    "StateChange",
    "absorb_report",
    "add_duration",
    "advance_entry",
    "avoid_servers",
    "bucket_of",
    "bucket_start_s",
    "combine_states",
    "count_bad",
    "count_from",
    "count_good",
    "describe_service",
    "drop_services",
    "find_holder",
    "has_begun",
    "hold_again",
    "hold_duration_s",
    "is_due",
    "is_server_fault",
    "judge_pool",
    "leaves_floor",
    "list_changes",
    "list_out",
    "list_services",
    "list_suspects",
    "log_ratio",
    "make_list",
    "open_pool",
    "policy_of",
    "receive_list",
    "record_end",
    "record_start",
    "renew_pool",
    "required_servers",
    "score_servers",
    "select_changed",
    "share_in_service",
    "sick_share",
    "states_in_force",
    "sum_tallies",
    "total_of",
]
