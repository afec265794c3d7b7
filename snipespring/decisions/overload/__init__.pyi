from .admission import HasRoom, Overloaded, ServiceRoom, admit_offered, make_room
from .demand import (
    add_counts,
    add_demand,
    count_demand,
    count_first,
    count_offered,
    count_report,
    count_retry,
    keep_retries,
    level_of,
    subtract_demand,
    sum_demand,
)
from .retry_after import spread_retry_after

__all__ = [
    "HasRoom",
    "Overloaded",
    "ServiceRoom",
    "admit_offered",
    "make_room",
    "spread_retry_after",
    "add_counts",
    "add_demand",
    "count_demand",
    "count_first",
    "count_offered",
    "count_report",
    "count_retry",
    "keep_retries",
    "level_of",
    "subtract_demand",
    "sum_demand",
]
