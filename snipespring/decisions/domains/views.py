"""Combine the reports of hosts into digests, summaries and views."""

from collections.abc import Iterable
from math import ceil

from attrs import evolve
from immutables import Map

from ...records import (
    DomainName,
    DomainReports,
    DomainSummary,
    FleetView,
    HostId,
    HostReport,
    OrganisationName,
    OrganisationUsage,
    ReceivedReport,
    ReceivedSummary,
    ReportDigest,
    ServerAnswers,
)
from .answers import sum_answers

__all__ = [
    "MAX_REPORT_AGE_S",
    "make_digest",
    "make_summary",
    "make_view",
    "receive_report",
    "receive_summary",
    "view_from_digest",
]

MAX_REPORT_AGE_S = 1.0  # reached when four successive reports are lost
# How many last reports of processes that a restart replaced are kept in a domain.
MAX_SUPERSEDED_REPORTS = 64
MAX_SUMMARY_AGE_S = 1.25  # reached when five successive summaries are lost


def receive_report(
    reports: DomainReports, report: HostReport, *, now_s: float
) -> DomainReports:
    """Return the reports with a host's report added, unless it is out of date."""
    host_id = report.host.host_id
    previous = reports.by_host.get(host_id)
    if previous is not None and _is_older(report, previous.report):
        return reports
    received = ReceivedReport(report=report, received_s=now_s)
    reports = evolve(reports, by_host=reports.by_host.set(host_id, received))
    if previous is None or previous.report.incarnation == report.incarnation:
        return reports
    # Admissions of the previous process still count in the windows of the limits.
    return evolve(
        reports, superseded=(*reports.superseded[-MAX_SUPERSEDED_REPORTS:], previous)
    )


def receive_summary(
    reports: DomainReports, summary: DomainSummary, *, now_s: float
) -> DomainReports:
    """Return the reports with the newest summary of another domain.

    A summary without a list of serving hosts leaves the previous list in effect.
    """
    previous = reports.by_domain.get(summary.domain)
    serving = summary.serving
    if serving is None:
        serving = previous.serving if previous is not None else ()
    received = ReceivedSummary(summary=summary, serving=serving, received_s=now_s)
    by_domain = reports.by_domain.set(summary.domain, received)
    return evolve(reports, by_domain=by_domain)


def make_digest(
    reports: DomainReports,
    own_id: HostId,
    report: HostReport,
    *,
    window_s: float,
    now_s: float,
) -> ReportDigest:
    """Return a hub's answer to a report: a digest of all hosts but the reporter."""
    view = make_view(reports, report.host.host_id, window_s=window_s, now_s=now_s)
    return ReportDigest(
        sender=own_id,
        incarnation=report.incarnation,
        sequence=report.sequence,
        serving=tuple(sorted(view.serving)),
        heard_hosts=view.heard_hosts,
        usage=_list_usage(view.usage),
        answers=tuple(
            ServerAnswers(instance=name, good=good)
            for name, good in sorted(view.answers.items())
        ),
    )


def make_summary(
    reports: DomainReports,
    own_id: HostId,
    domain: DomainName,
    *,
    window_s: float,
    now_s: float,
) -> DomainSummary:
    """Return the summary of this domain for the other domains."""
    recent = _list_recent(reports, now_s)
    return DomainSummary(
        sender=own_id,
        domain=domain,
        serving=tuple(sorted(_list_serving(recent))),
        heard_hosts=len(recent),
        usage=_list_usage(
            _sum_usage([*recent, *_list_silent(reports, window_s, now_s)])
        ),
    )


def make_view(
    reports: DomainReports, host_id: HostId, *, window_s: float, now_s: float
) -> FleetView:
    """Return one host's view of the fleet, without its own usage and answers.

    The usage of silent hosts counts until it has left the window.
    """
    recent = _list_recent(reports, now_s)
    others = [report for report in recent if report.host.host_id != host_id]
    summaries = [
        received
        for received in reports.by_domain.values()
        if now_s - received.received_s <= MAX_SUMMARY_AGE_S
    ]
    serving = set(_list_serving(recent))
    for received in summaries:
        serving.update(received.serving)
    return FleetView(
        serving=frozenset(serving),
        heard_hosts=len(others) + 1 + sum(s.summary.heard_hosts for s in summaries),
        usage=_sum_usage(
            [
                *others,
                *_list_silent(reports, window_s, now_s),
                *(received.summary for received in summaries),
            ]
        ),
        answers=sum_answers(others),
        as_of_s=now_s,
    )


def view_from_digest(digest: ReportDigest, *, now_s: float) -> FleetView:
    """Return the view of the fleet that a hub's digest describes."""
    return FleetView(
        serving=frozenset(digest.serving),
        heard_hosts=digest.heard_hosts,
        usage=_sum_usage([digest]),
        answers=sum_answers([digest]),
        as_of_s=now_s,
    )


def _is_older(report: HostReport, known: HostReport) -> bool:
    return report.incarnation == known.incarnation and report.sequence <= known.sequence


def _list_recent(reports: DomainReports, now_s: float) -> list[HostReport]:
    return [
        received.report
        for received in reports.by_host.values()
        if now_s - received.received_s <= MAX_REPORT_AGE_S
    ]


def _list_silent(
    reports: DomainReports, window_s: float, now_s: float
) -> list[HostReport]:
    """Return the last reports of silent hosts and ended processes, with aged usage.

    Their admissions are assumed to leave the window at an even rate, and their
    demand to have ended.
    """
    silent = [
        received
        for received in reports.by_host.values()
        if now_s - received.received_s > MAX_REPORT_AGE_S
    ]
    return [
        evolve(received.report, usage=_age_usage(received, window_s, now_s), answers=())
        for received in (*silent, *reports.superseded)
        if now_s - received.received_s < window_s
    ]


def _age_usage(
    received: ReceivedReport, window_s: float, now_s: float
) -> tuple[OrganisationUsage, ...]:
    remaining_share = 1.0 - (now_s - received.received_s) / window_s
    return tuple(
        evolve(usage, admitted=ceil(usage.admitted * remaining_share), received=0)
        for usage in received.report.usage
    )


def _list_serving(reports: Iterable[HostReport]) -> list[HostId]:
    return [report.host.host_id for report in reports if report.is_serving]


def _sum_usage(
    messages: Iterable[HostReport | DomainSummary | ReportDigest],
) -> Map[OrganisationName, OrganisationUsage]:
    totals: dict[OrganisationName, OrganisationUsage] = {}
    for message in messages:
        for usage in message.usage:
            total = totals.get(usage.organisation)
            if total is not None:
                usage = evolve(
                    total,
                    admitted=total.admitted + usage.admitted,
                    received=total.received + usage.received,
                )
            totals[usage.organisation] = usage
    return Map(totals)


def _list_usage(
    usage: Map[OrganisationName, OrganisationUsage],
) -> tuple[OrganisationUsage, ...]:
    return tuple(count for _, count in sorted(usage.items()))
