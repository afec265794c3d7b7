"""Combine the reports of hosts into digests, summaries and views."""

from collections.abc import Iterable
from math import ceil

import xxhash
from attrs import evolve
from immutables import Map

from ...records import (
    DomainName,
    DomainReports,
    DomainState,
    DomainSummary,
    FleetView,
    HostId,
    HostReport,
    HubState,
    OrganisationName,
    OrganisationUsage,
    ReceivedReport,
    ReceivedSummary,
    ReportDigest,
    ServerAnswers,
    StateRequest,
)
from ..overload import keep_retries, subtract_demand, sum_demand
from .answers import sum_answers
from .hubs import SMALL_DOMAIN_HOSTS

__all__ = [
    "MAX_REPORT_AGE_S",
    "make_digest",
    "make_hub_state",
    "make_request",
    "make_summary",
    "make_view",
    "receive_report",
    "receive_summary",
]

MAX_REPORT_AGE_S = 1.0  # reached when four successive reports are lost
# How many last reports of processes that a restart replaced are kept in a domain.
MAX_SUPERSEDED_REPORTS = 64
MAX_SUMMARY_AGE_S = 1.25  # reached when five successive summaries are lost
# Without a state from the first hub for this time, the second one is asked too.
MAX_STATE_AGE_S = 0.6
ANSWERS_INTERVAL_S = 0.75


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


def make_hub_state(
    reports: DomainReports, *, window_s: float, now_s: float
) -> HubState:
    """Return what a hub knows of the fleet, with the reports that the sums include.

    The usage of silent hosts counts until it has left the window.
    """
    recent = _list_recent(reports, now_s)
    summaries = _list_recent_summaries(reports, now_s)
    serving = set(_list_serving(recent))
    for received in summaries:
        serving.update(received.serving)
    listed = tuple(sorted(serving))
    messages: list[HostReport | DomainSummary] = [
        *recent,
        *_list_silent(reports, window_s, now_s),
        *(received.summary for received in summaries),
    ]
    state = DomainState(
        heard_hosts=len(recent) + sum(s.summary.heard_hosts for s in summaries),
        serving_version=_version_of(listed),
        serving=listed,
        usage=_sum_usage(messages),
        answers=tuple(
            ServerAnswers(instance=name, good=good)
            for name, good in sorted(sum_answers(recent).items())
        ),
        demand=sum_demand(message.demand for message in messages),
    )
    included = Map({report.host.host_id: report for report in recent})
    return HubState(state=state, included=included, as_of_s=now_s)


def make_digest(
    hub_state: HubState, own_id: HostId, report: HostReport
) -> ReportDigest:
    """Return a hub's answer to a report, with the parts of the state it asks for."""
    included = hub_state.included.get(report.host.host_id)
    is_included = included is not None and included.incarnation == report.incarnation
    return ReportDigest(
        sender=own_id,
        incarnation=report.incarnation,
        sequence=report.sequence,
        included_sequence=included.sequence if included and is_included else None,
        state=_select_parts(hub_state.state, report.request),
    )


def make_request(
    view: FleetView, *, is_first_hub: bool, domain_hosts: int, now_s: float
) -> StateRequest | None:
    """Return what to ask of a hub, None for a confirmation of the report only.

    The second hub is asked when the first one has not answered lately. In a large
    domain, answers are asked for less often than the rest, since they are the
    largest part.
    """
    is_recent = view.as_of_s is not None and now_s - view.as_of_s <= MAX_STATE_AGE_S
    if is_recent and not is_first_hub:
        return None
    interval_s = ANSWERS_INTERVAL_S if domain_hosts > SMALL_DOMAIN_HOSTS else 0.0
    return StateRequest(
        serving_version=view.serving_version,
        wants_answers=view.answers_as_of_s is None
        or now_s - view.answers_as_of_s >= interval_s,
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
    counted = [*recent, *_list_silent(reports, window_s, now_s)]
    return DomainSummary(
        sender=own_id,
        domain=domain,
        serving=tuple(sorted(_list_serving(recent))),
        heard_hosts=len(recent),
        usage=_sum_usage(counted),
        demand=sum_demand(report.demand for report in counted),
    )


def make_view(
    state: DomainState, own: HostReport | None, previous: FleetView, *, now_s: float
) -> FleetView:
    """Return one host's view of the fleet, without its own usage and answers.

    `own` is the report of this host that the sums of the state include. Parts that
    the state leaves out stay as they were in the previous view.
    """
    own_usage, own_answers = _index_own(own)
    answers, answers_as_of_s = previous.answers, previous.answers_as_of_s
    if state.answers is not None:
        answers_as_of_s = now_s
        answers = Map(
            {
                count.instance: good
                for count in state.answers
                if (good := count.good - own_answers.get(count.instance, 0)) > 0
            }
        )
    serving, serving_version = previous.serving, previous.serving_version
    if state.serving is not None:
        serving, serving_version = frozenset(state.serving), state.serving_version
    return FleetView(
        serving=serving,
        serving_version=serving_version,
        heard_hosts=state.heard_hosts + (own is None),
        usage=Map(_subtract_usage(state.usage, own_usage)),
        answers=answers,
        answers_as_of_s=answers_as_of_s,
        demand=subtract_demand(state.demand, () if own is None else own.demand),
        as_of_s=now_s,
    )


def _select_parts(
    state: DomainState | None, request: StateRequest | None
) -> DomainState | None:
    if state is None or request is None:
        return None
    is_serving_known = request.serving_version == state.serving_version
    return evolve(
        state,
        serving=None if is_serving_known else state.serving,
        answers=state.answers if request.wants_answers else None,
    )


def _index_own(
    own: HostReport | None,
) -> tuple[dict[OrganisationName, OrganisationUsage], dict[str, int]]:
    if own is None:
        return {}, {}
    usage = {entry.organisation: entry for entry in own.usage}
    return usage, {count.instance: count.good for count in own.answers}


def _subtract_usage(
    usage: Iterable[OrganisationUsage], own: dict[OrganisationName, OrganisationUsage]
) -> dict[OrganisationName, OrganisationUsage]:
    result = {}
    for total in usage:
        name = total.organisation
        if (part := own.get(name)) is not None:
            total = OrganisationUsage(
                organisation=name,
                admitted=max(0, total.admitted - part.admitted),
                received=max(0, total.received - part.received),
            )
        if total.admitted or total.received:
            result[name] = total
    return result


def _version_of(serving: tuple[HostId, ...]) -> int:
    """Return a number that identifies a list of hosts, never 0."""
    return 1 + xxhash.xxh32_intdigest("\0".join(serving).encode())


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
        evolve(
            received.report,
            usage=_age_usage(received, window_s, now_s),
            answers=(),
            demand=keep_retries(received.report.demand),
        )
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


def _list_recent_summaries(
    reports: DomainReports, now_s: float
) -> list[ReceivedSummary]:
    return [
        received
        for received in reports.by_domain.values()
        if now_s - received.received_s <= MAX_SUMMARY_AGE_S
    ]


def _sum_usage(
    messages: Iterable[HostReport | DomainSummary],
) -> tuple[OrganisationUsage, ...]:
    admitted: dict[OrganisationName, int] = {}
    received: dict[OrganisationName, int] = {}
    for message in messages:
        for usage in message.usage:
            name = usage.organisation
            admitted[name] = admitted.get(name, 0) + usage.admitted
            received[name] = received.get(name, 0) + usage.received
    return tuple(
        OrganisationUsage(organisation=name, admitted=count, received=received[name])
        for name, count in sorted(admitted.items())
    )
