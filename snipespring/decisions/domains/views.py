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
    HeardReport,
    HeardSummary,
    HostId,
    HostReport,
    OrganisationName,
    OrganisationUsage,
    ReportDigest,
    ServerAnswers,
)
from .answers import sum_answers

__all__ = [
    "MAX_REPORT_AGE_S",
    "receive_report",
    "receive_summary",
    "make_digest",
    "make_summary",
    "make_view",
    "view_from_digest",
]

MAX_REPORT_AGE_S = 1.0  # four reports lost in a row
MAX_ENDED_PROCESSES = 64  # ended processes of a domain that are remembered
MAX_SUMMARY_AGE_S = 1.25  # five summaries lost in a row


def receive_report(
    reports: DomainReports, report: HostReport, *, now_s: float
) -> DomainReports:
    """Return the reports with a newer one of a host; older ones change nothing."""
    host_id = report.host.host_id
    held = reports.by_host.get(host_id)
    if held is not None and _is_older(report, held.report):
        return reports
    heard = HeardReport(report=report, at_s=now_s)
    reports = evolve(reports, by_host=reports.by_host.set(host_id, heard))
    if held is None or held.report.incarnation == report.incarnation:
        return reports
    # What the process before admitted still counts in the windows of the limits.
    return evolve(reports, ended=(*reports.ended[-MAX_ENDED_PROCESSES:], held))


def receive_summary(
    reports: DomainReports, summary: DomainSummary, *, now_s: float
) -> DomainReports:
    """Return the reports with the newest summary of another domain."""
    held = reports.by_domain.get(summary.domain)
    serving = summary.serving
    if serving is None:
        serving = held.serving if held is not None else ()
    heard = HeardSummary(summary=summary, serving=serving, at_s=now_s)
    by_domain = reports.by_domain.set(summary.domain, heard)
    return evolve(reports, by_domain=by_domain)


def make_digest(
    reports: DomainReports,
    own_id: HostId,
    report: HostReport,
    *,
    window_s: float,
    now_s: float,
) -> ReportDigest:
    """Return what the host that sent a report should know of all others."""
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
    """Return what other domains should know of this one."""
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
    """Return the view of one host, its own usage and outcomes left out.

    Usage of hosts that fell silent counts until it has left the window.
    """
    recent = _list_recent(reports, now_s)
    others = [report for report in recent if report.host.host_id != host_id]
    summaries = [
        heard
        for heard in reports.by_domain.values()
        if now_s - heard.at_s <= MAX_SUMMARY_AGE_S
    ]
    serving = set(_list_serving(recent))
    for heard in summaries:
        serving.update(heard.serving)
    return FleetView(
        serving=frozenset(serving),
        heard_hosts=len(others) + 1 + sum(one.summary.heard_hosts for one in summaries),
        usage=_sum_usage(
            [
                *others,
                *_list_silent(reports, window_s, now_s),
                *(heard.summary for heard in summaries),
            ]
        ),
        answers=sum_answers(others),
        as_of_s=now_s,
    )


def view_from_digest(digest: ReportDigest, *, now_s: float) -> FleetView:
    """Return the view that a hub's digest gives."""
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
        heard.report
        for heard in reports.by_host.values()
        if now_s - heard.at_s <= MAX_REPORT_AGE_S
    ]


def _list_silent(
    reports: DomainReports, window_s: float, now_s: float
) -> list[HostReport]:
    """Return the last reports of silent hosts and ended processes.

    Their admissions leave the window as evenly as they entered it; nothing is asked
    of these hosts any more.
    """
    silent = [
        heard
        for heard in reports.by_host.values()
        if now_s - heard.at_s > MAX_REPORT_AGE_S
    ]
    return [
        evolve(heard.report, usage=_age_usage(heard, window_s, now_s), answers=())
        for heard in (*silent, *reports.ended)
        if now_s - heard.at_s < window_s
    ]


def _age_usage(
    heard: HeardReport, window_s: float, now_s: float
) -> tuple[OrganisationUsage, ...]:
    left = 1.0 - (now_s - heard.at_s) / window_s
    return tuple(
        evolve(one, admitted=ceil(one.admitted * left), asked=0)
        for one in heard.report.usage
    )


def _list_serving(reports: Iterable[HostReport]) -> list[HostId]:
    return [report.host.host_id for report in reports if report.is_serving]


def _sum_usage(
    messages: Iterable[HostReport | DomainSummary | ReportDigest],
) -> Map[OrganisationName, OrganisationUsage]:
    total: dict[OrganisationName, OrganisationUsage] = {}
    for message in messages:
        for one in message.usage:
            held = total.get(one.organisation)
            if held is not None:
                one = evolve(
                    held,
                    admitted=held.admitted + one.admitted,
                    asked=held.asked + one.asked,
                )
            total[one.organisation] = one
    return Map(total)


def _list_usage(
    usage: Map[OrganisationName, OrganisationUsage],
) -> tuple[OrganisationUsage, ...]:
    return tuple(one for _, one in sorted(usage.items()))
