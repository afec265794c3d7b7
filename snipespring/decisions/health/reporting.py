"""Decide when a host reports its evidence to the holder of the ejection list."""

from attrs import frozen

from ...records import ServerReport
from .pooling import count_bad

__all__ = ["SentReport", "is_report_due", "select_changed_reports"]

FAILURE_REPORT_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 0.5


@frozen(kw_only=True)
class SentReport:
    """Represent the last report about a service.

    `servers` is empty if the next report has to be complete.
    """

    at_s: float
    servers: tuple[ServerReport, ...] = ()


def is_report_due(
    sent: SentReport | None,
    servers: tuple[ServerReport, ...],
    *,
    slow_bucket: int,
    has_entries: bool,
    now_s: float,
) -> bool:
    """Return whether to report now; new bad attempts shorten the interval.

    `has_entries` tells whether this host's copy of the ejection list names servers.
    """
    if sent is None:
        return bool(servers)
    waited_s = now_s - sent.at_s
    if waited_s >= REPORT_INTERVAL_S:
        return has_entries or servers != sent.servers
    if waited_s < FAILURE_REPORT_INTERVAL_S:
        return False
    return _total_bad(servers, slow_bucket) > _total_bad(sent.servers, slow_bucket)


def select_changed_reports(
    sent: SentReport | None, servers: tuple[ServerReport, ...]
) -> tuple[ServerReport, ...]:
    """Return the evidence that differs from the last report."""
    reported = frozenset(sent.servers) if sent is not None else frozenset()
    return tuple(entry for entry in servers if entry not in reported)


def _total_bad(servers: tuple[ServerReport, ...], slow_bucket: int) -> int:
    return sum(count_bad(entry, slow_bucket) for entry in servers)
