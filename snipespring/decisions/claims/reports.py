"""Decide when to report ended attempts to the owners of their idempotency keys."""

from attrs import evolve
from immutables import Map

from ...records import Address, Attempt, ClaimReport, PendingReport, PendingReports

__all__ = ["add_report", "apply_delivery_result", "due_reports", "next_due_s"]

DELIVERY_TIMEOUT_S = 300.0
FIRST_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 15.0
MAX_PENDING_REPORTS = 10000
MAX_REPORTS_PER_CALL = 64


def add_report(
    pending: PendingReports, report: ClaimReport, *, owner: Address, now_s: float
) -> PendingReports:
    """Return the pending reports with one added.

    They stay unchanged if MAX_PENDING_REPORTS are pending already.
    """
    if len(pending.by_attempt) >= MAX_PENDING_REPORTS:
        return pending
    added = PendingReport(
        report=report, owner=owner, due_s=now_s, give_up_s=now_s + DELIVERY_TIMEOUT_S
    )
    return PendingReports(by_attempt=pending.by_attempt.set(report.by, added))


def due_reports(
    pending: PendingReports, *, now_s: float
) -> Map[Address, tuple[PendingReport, ...]]:
    """Return the due reports by owner, at most MAX_REPORTS_PER_CALL for each."""
    due: Map[Address, tuple[PendingReport, ...]] = Map()
    for entry in pending.by_attempt.values():
        owner_reports = due.get(entry.owner, ())
        if entry.due_s <= now_s and len(owner_reports) < MAX_REPORTS_PER_CALL:
            due = due.set(entry.owner, (*owner_reports, entry))
    return due


def apply_delivery_result(
    pending: PendingReports,
    attempted: tuple[PendingReport, ...],
    *,
    delivered: bool,
    now_s: float,
) -> PendingReports:
    """Return the reports still pending after one call to an owner."""
    by_attempt = pending.by_attempt
    for entry in attempted:
        attempt: Attempt = entry.report.by
        if delivered or entry.give_up_s <= now_s:
            by_attempt = by_attempt.delete(attempt)
        else:
            by_attempt = by_attempt.set(attempt, _postpone(entry, now_s))
    return PendingReports(by_attempt=by_attempt)


def next_due_s(pending: PendingReports) -> float | None:
    """Return when the next report is due, or None if none is pending."""
    return min((entry.due_s for entry in pending.by_attempt.values()), default=None)


def _postpone(entry: PendingReport, now_s: float) -> PendingReport:
    delay_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0**entry.tries)
    return evolve(entry, due_s=now_s + delay_s, tries=entry.tries + 1)
