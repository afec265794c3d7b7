from .avoidance import (
    remove_services,
    update_avoidance,
)
from .ejection import (
    EJECTION_LIST_LIFETIME_S,
    evaluate_pool,
)
from .ejection_lists import (
    effective_states,
    make_ejection_list,
    receive_ejection_list,
)
from .evidence import (
    list_services,
    make_server_reports,
    record_attempt_end,
    record_attempt_start,
)
from .floors import (
    list_unusable,
    required_servers,
    satisfies_floor,
)
from .histograms import (
    add_duration,
    bucket_of,
    bucket_start_s,
    count_at_least,
    total_count,
)
from .path_faults import (
    is_server_fault,
)
from .policies import (
    policy_of,
)
from .pooling import (
    add_report,
    count_bad,
    count_good,
    create_pool,
)
from .reporting import (
    SentReport,
    is_report_due,
    select_changed_reports,
)
from .scoring import (
    failure_ratio_in_service,
    log_likelihood_ratio,
    score_servers,
    sum_tallies,
    unhealthy_failure_ratio,
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
    find_list_holder,
    have_earlier_leases_ended,
    renew_pool,
)
from .trials import (
    advance_entry,
    eject_again,
    ejection_duration_s,
)

__all__ = [
    "EJECTION_LIST_LIFETIME_S",
    "SentReport",
    "StateChange",
    "add_duration",
    "add_report",
    "advance_entry",
    "bucket_of",
    "bucket_start_s",
    "combine_states",
    "count_at_least",
    "count_bad",
    "count_good",
    "create_pool",
    "effective_states",
    "eject_again",
    "ejection_duration_s",
    "evaluate_pool",
    "failure_ratio_in_service",
    "find_list_holder",
    "have_earlier_leases_ended",
    "is_report_due",
    "is_server_fault",
    "list_changes",
    "list_services",
    "list_suspects",
    "list_unusable",
    "log_likelihood_ratio",
    "make_ejection_list",
    "make_server_reports",
    "policy_of",
    "receive_ejection_list",
    "record_attempt_end",
    "record_attempt_start",
    "remove_services",
    "renew_pool",
    "required_servers",
    "satisfies_floor",
    "score_servers",
    "select_changed_reports",
    "sum_tallies",
    "total_count",
    "unhealthy_failure_ratio",
    "update_avoidance",
]
