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

__all__ = [
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
