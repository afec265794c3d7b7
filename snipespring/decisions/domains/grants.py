"""Grant admissions above half of a limit's window, as the first hub of a domain.

The load handled is an organisation that asks its whole rate or several times its rate:
one place in each domain counts what it admits at once, so that no margin for admissions
that a host has not heard of is needed within the domain.
"""

from bisect import bisect_left
from collections.abc import Mapping
from math import ceil, inf

from attrs import evolve, frozen

from ...records import (
    AdmissionAnswer,
    AdmissionQuery,
    DomainName,
    DomainReports,
    FleetView,
    Grant,
    GrantLog,
    HostId,
    HubTenure,
    Incarnation,
    OrganisationGrants,
    OrganisationName,
    OrganisationRule,
    OrganisationTimes,
    OrganisationUsage,
    OverLimit,
    PeakUse,
    QueriedUsage,
    ReceivedSummary,
)
from .usage import (
    BASELINE_REQUESTS,
    DEMAND_WINDOW_S,
    MIN_RETRY_AFTER_S,
    UNSEEN_DEMAND_FACTOR,
    VIEW_LAG_S,
    RateTolerance,
    count_times,
    max_window_admissions,
    reserve_for_silent_hosts,
)
from .views import MAX_REPORT_AGE_S, MAX_SUMMARY_AGE_S

__all__ = [
    "HubKnowledge",
    "answer_query",
    "is_query_due",
    "make_undecided_answer",
    "prune_grants",
    "renew_tenure",
]

# Part of the tolerated window that hubs use; the rest covers what reports do not show
# while messages are lost.
GRANTED_SHARE = 0.95
QUERY_SHARE = 0.5  # of the granted window; below it hosts admit alone
# Once all hosts ask, they are taken to ask until the use is below this share.
ALONE_SHARE = 0.4
# Part of what is left that is divided evenly, so that a domain that had no admissions
# can begin to admit. The rest follows the admissions.
EVEN_PART = 0.5
# After a longer time without queries the use may have fallen unobserved. Hubs of one
# host often have no query for 1 s; a gap of 0.6 s refuses requests below the limit.
MAX_QUERY_GAP_S = 3.0
# Longest time from a grant until the host has counted it. It exceeds the time for which
# a host waits for an answer.
GRANT_DELAY_S = 0.05
# Within this time the reports and summaries show what a previous first hub granted.
TENURE_DELAY_S = 0.6
# A longer pause between two checks of the tenure means that the process was frozen.
MAX_TENURE_GAP_S = 0.6
# Longest age of the admissions that a summary shows, when it is sent.
SUMMARISED_AGE_S = 0.3
# A host with an older report may be cut off and admit without any contact. Two
# successive reports are rarely lost.
OVERDUE_REPORT_S = 0.6
# Twice the longest age of a view: by then all hosts know of a high use, and what they
# admitted alone before is in the reports. With half of it, a surge to 12 times the rate
# exceeds the window by 1 % where a tenth of the messages is lost.
ALL_ASK_DELAY_S = 2.0 * VIEW_LAG_S
# Part of the window that is kept for the most urgent requests of an organisation.
URGENT_SHARE = 0.05
NO_GRANTS = OrganisationGrants()


@frozen(kw_only=True)
class HubKnowledge:
    """Combine what a hub knows of the fleet; `known_hosts` includes silent hosts."""

    domain: DomainName
    reports: DomainReports
    known_hosts: Mapping[DomainName, int]


@frozen(kw_only=True)
class _KnownUse:
    """Count an organisation's admissions in the window as a hub knows them.

    `recent` of the `own` ones were granted within `lag_s`, the age of what hubs know
    of each other. `reserved` is what silent hosts may admit without any contact.
    """

    own: int
    recent: int
    elsewhere: int
    reserved: float
    demand_per_s: float
    hosts: int
    lag_s: float

    @property
    def total(self) -> int:
        """Return the admissions of all domains."""
        return self.own + self.elsewhere

    @property
    def settled(self) -> int:
        """Return the admissions of this domain that the other hubs may know."""
        return max(0, self.own - self.recent)


def is_query_due(
    rule: OrganisationRule,
    tolerance: RateTolerance,
    local_times: OrganisationTimes,
    view: FleetView,
    *,
    known_hosts: int,
    now_s: float,
) -> bool:
    """Return whether the known use of an organisation is above half of the window.

    Without a recent view of the others, as after the start and while the hubs are not
    reached, nothing is known of the use. Of a window that silent hosts share, the half
    of the part of the heard hosts counts.
    """
    if rule.rate_per_s == inf:
        return False
    if view.as_of_s is None or now_s - view.as_of_s > VIEW_LAG_S:
        return True
    elsewhere = view.usage.get(rule.name, OrganisationUsage(organisation=rule.name))
    used = count_times(local_times.admitted_s, now_s - tolerance.window_s)
    allowed = GRANTED_SHARE * max_window_admissions(rule, tolerance)
    heard_share = min(1.0, view.heard_hosts / max(1, known_hosts))
    return used + elsewhere.admitted >= QUERY_SHARE * allowed * heard_share


def renew_tenure(
    tenure: HubTenure,
    *,
    is_hub: bool,
    is_first_hub: bool,
    now_s: float,
) -> HubTenure:
    """Return the tenure at this time; a pause of the process begins it again."""
    checked_s = tenure.checked_s
    is_continued = checked_s is not None and now_s - checked_s <= MAX_TENURE_GAP_S
    since_s = tenure.since_s if is_continued else None
    hub_since_s = tenure.hub_since_s if is_continued else None
    if since_s is None:
        since_s = now_s
    if hub_since_s is None:
        hub_since_s = now_s
    return HubTenure(
        since_s=since_s if is_first_hub else None,
        hub_since_s=hub_since_s if is_hub else None,
        checked_s=now_s,
    )


def make_undecided_answer(own_id: HostId, query: AdmissionQuery) -> AdmissionAnswer:
    """Return the answer that leaves the decision to the asking host."""
    return AdmissionAnswer(
        sender=own_id,
        incarnation=query.incarnation,
        number=query.number,
        is_decided=False,
    )


def answer_query(
    log: GrantLog,
    query: AdmissionQuery,
    rule: OrganisationRule,
    tolerance: RateTolerance,
    knowledge: HubKnowledge,
    tenure: HubTenure,
    *,
    own_id: HostId,
    now_s: float,
) -> tuple[GrantLog, AdmissionAnswer]:
    """Decide a query, and return the log with the decision.

    A hub does not decide before it knows what its predecessor granted, nor long after
    the last check of its tenure. A repeated query gets a grant again.
    """
    undecided = make_undecided_answer(own_id, query)
    since_s, checked_s = tenure.since_s, tenure.checked_s
    if since_s is None or checked_s is None:
        return log, undecided
    if now_s - since_s < TENURE_DELAY_S or now_s - checked_s > MAX_TENURE_GAP_S:
        return log, undecided
    name = rule.name
    grants = log.by_organisation.get(name, NO_GRANTS)
    answer = evolve(undecided, is_decided=True)
    if any(_is_for(grant, query) for grant in grants.granted):
        return log, answer
    grants = _record_query(grants, query, tolerance, now_s)
    grants = _record_peaks(grants, name, tolerance, knowledge, now_s)
    use = _sum_known_use(grants, rule, tolerance, knowledge, tenure, now_s)
    grants = _record_use(grants, use.total, rule, tolerance, now_s)
    refusal = _find_refusal(grants, query, use, rule, tolerance, knowledge, now_s)
    if refusal is None:
        grant = Grant(
            host_id=query.sender,
            incarnation=query.incarnation,
            number=query.number,
            at_s=now_s,
        )
        grants = evolve(grants, granted=(*grants.granted, grant))
    log = evolve(log, by_organisation=log.by_organisation.set(name, grants))
    return log, evolve(answer, refusal=refusal)


def prune_grants(log: GrantLog, *, window_s: float, now_s: float) -> GrantLog:
    """Return the log without decisions and usage that have left the window."""
    start_s, by_organisation = now_s - window_s, log.by_organisation
    for name, grants in log.by_organisation.items():
        if grants.asked_s is None or grants.asked_s < start_s:
            by_organisation = by_organisation.delete(name)
            continue
        queried = grants.queried
        for host_id, usage in grants.queried.items():
            if usage.at_s < start_s:
                queried = queried.delete(host_id)
        if queried is not grants.queried:
            by_organisation = by_organisation.set(name, evolve(grants, queried=queried))
    if by_organisation is log.by_organisation:
        return log
    return evolve(log, by_organisation=by_organisation)


def _is_for(grant: Grant, query: AdmissionQuery) -> bool:
    return (
        grant.number == query.number
        and grant.host_id == query.sender
        and grant.incarnation == query.incarnation
    )


def _record_query(
    grants: OrganisationGrants,
    query: AdmissionQuery,
    tolerance: RateTolerance,
    now_s: float,
) -> OrganisationGrants:
    """Return the grants of the window, with the usage that the query states."""
    first = bisect_left(
        grants.granted, now_s - tolerance.window_s, key=lambda grant: grant.at_s
    )
    by_priority = grants.by_priority.set(query.priority, now_s)
    for priority, asked_s in grants.by_priority.items():
        if now_s - asked_s > tolerance.window_s and priority != query.priority:
            by_priority = by_priority.delete(priority)
    queried = QueriedUsage(
        incarnation=query.incarnation,
        admitted=query.usage.admitted,
        received=query.usage.received,
        at_s=now_s,
    )
    last_s = grants.asked_s
    is_continued = last_s is not None and now_s - last_s <= MAX_QUERY_GAP_S
    return evolve(
        grants,
        granted=grants.granted[first:],
        queried=grants.queried.set(query.sender, queried),
        by_priority=by_priority,
        asked_s=now_s,
        high_since_s=grants.high_since_s if is_continued else None,
    )


def _record_use(
    grants: OrganisationGrants,
    used: int,
    rule: OrganisationRule,
    tolerance: RateTolerance,
    now_s: float,
) -> OrganisationGrants:
    allowed = GRANTED_SHARE * max_window_admissions(rule, tolerance)
    if used < ALONE_SHARE * allowed:
        return evolve(grants, high_since_s=None)
    if grants.high_since_s is None and used >= QUERY_SHARE * allowed:
        return evolve(grants, high_since_s=now_s)
    return grants


def _find_refusal(
    grants: OrganisationGrants,
    query: AdmissionQuery,
    use: _KnownUse,
    rule: OrganisationRule,
    tolerance: RateTolerance,
    knowledge: HubKnowledge,
    now_s: float,
) -> OverLimit | None:
    allowed = GRANTED_SHARE * max_window_admissions(rule, tolerance) - use.reserved
    if query.priority > min(grants.by_priority):
        allowed *= 1.0 - URGENT_SHARE
    unseen = _estimate_unseen(grants, query, use, now_s)
    left = allowed - unseen - use.total
    # The other hubs do not know the recent grants of this one, and may themselves use
    # their shares of what was left before.
    share = _share_of(use, knowledge)
    part = share * (allowed - unseen - use.settled - use.elsewhere)
    if left >= 1.0 and use.recent + 1 <= part:
        return None
    reason = (
        f"rate limit: {use.own} admitted in this domain and {use.elsewhere} elsewhere "
        f"in {tolerance.window_s:g} s, {allowed:.0f} allowed, {unseen:.0f} presumed, "
        f"{use.recent} of the domain's part of {max(0.0, part):.0f} granted in "
        f"{use.lag_s:.1f} s"
    )
    retry_after_s = _estimate_room_s(grants, use, left, tolerance, now_s)
    return OverLimit(reason=reason, retry_after_s=retry_after_s)


def _share_of(use: _KnownUse, knowledge: HubKnowledge) -> float:
    """Return this domain's share of what is left; those of all domains sum to 1.

    `settled` leaves out what the other hubs do not know yet.
    """
    domains = len({knowledge.domain, *knowledge.known_hosts})
    by_use = use.settled / max(1, use.settled + use.elsewhere)
    return EVEN_PART / domains + (1.0 - EVEN_PART) * by_use if domains > 1 else 1.0


def _estimate_unseen(
    grants: OrganisationGrants, query: AdmissionQuery, use: _KnownUse, now_s: float
) -> float:
    """Return what hosts may have admitted alone that no report shows yet.

    It is nothing once the use has been high for `ALL_ASK_DELAY_S`.
    """
    high_since_s = grants.high_since_s
    if high_since_s is not None and now_s - high_since_s > ALL_ASK_DELAY_S:
        return 0.0
    surge = max(0, query.usage.received - BASELINE_REQUESTS) * use.hosts
    demand_per_s = max(use.demand_per_s, surge / DEMAND_WINDOW_S)
    return UNSEEN_DEMAND_FACTOR * VIEW_LAG_S * demand_per_s


def _estimate_room_s(
    grants: OrganisationGrants,
    use: _KnownUse,
    left: float,
    tolerance: RateTolerance,
    now_s: float,
) -> float:
    """Return the seconds until enough admissions have left the window."""
    excess = max(1, ceil(1.0 - left))
    of_domain = ceil(excess * use.own / max(1, use.total))
    if left >= 1.0 and use.recent:
        oldest = grants.granted[-use.recent]
        room_s = oldest.at_s + use.lag_s - now_s
    elif 0 < of_domain <= len(grants.granted):
        room_s = grants.granted[of_domain - 1].at_s + tolerance.window_s - now_s
    else:
        room_s = tolerance.window_s * min(1.0, excess / max(1, use.total))
    return max(MIN_RETRY_AFTER_S, room_s)


def _record_peaks(
    grants: OrganisationGrants,
    name: OrganisationName,
    tolerance: RateTolerance,
    knowledge: HubKnowledge,
    now_s: float,
) -> OrganisationGrants:
    """Return the grants with the highest use of each other domain.

    A new hub there does not know the admissions of processes that ended before, so a
    use that falls faster than a window empties is not believed.
    """
    peaks = grants.peaks
    for domain, received in knowledge.reports.by_domain.items():
        if now_s - received.received_s > MAX_SUMMARY_AGE_S:
            continue
        admitted = _find_usage(received.summary.usage, name).admitted
        if admitted >= _age_peak(peaks.get(domain), tolerance, now_s):
            peaks = peaks.set(domain, PeakUse(admitted=admitted, at_s=now_s))
    return evolve(grants, peaks=peaks)


def _age_peak(peak: PeakUse | None, tolerance: RateTolerance, now_s: float) -> int:
    if peak is None:
        return 0
    age_s = now_s - peak.at_s
    return ceil(peak.admitted * max(0.0, 1.0 - age_s / tolerance.window_s))


def _sum_known_use(
    grants: OrganisationGrants,
    rule: OrganisationRule,
    tolerance: RateTolerance,
    knowledge: HubKnowledge,
    tenure: HubTenure,
    now_s: float,
) -> _KnownUse:
    known, summaries = knowledge.known_hosts, knowledge.reports.by_domain
    allowed = GRANTED_SHARE * max_window_admissions(rule, tolerance)
    even_share = allowed / max(1, sum(known.values()))
    own, received, heard = _sum_domain(
        grants, rule.name, tolerance, knowledge.reports, now_s
    )
    # Processes that ended before this host got reports may have used an even share.
    hub_s = 0.0 if tenure.hub_since_s is None else now_s - tenure.hub_since_s
    part = even_share * known.get(knowledge.domain, 0)
    previous = ceil(part * max(0.0, 1.0 - hub_s / tolerance.window_s))
    if previous:
        own = max(own, previous + len(grants.granted))
    elsewhere, lag_s = 0, VIEW_LAG_S
    for domain in {*known, *summaries} - {knowledge.domain}:
        used = _age_peak(grants.peaks.get(domain), tolerance, now_s)
        summary = summaries.get(domain)
        if summary is None:
            elsewhere += used
            continue
        part = even_share * known.get(domain, 0)
        elsewhere += max(used, _presume_use(summary, rule.name, part, tolerance))
        age_s = now_s - summary.received_s
        if age_s <= MAX_SUMMARY_AGE_S:
            lag_s = max(lag_s, age_s + SUMMARISED_AGE_S)
            received += _find_usage(summary.summary.usage, rule.name).received
            heard += summary.summary.heard_hosts
    recent_at_s = now_s - lag_s
    recent = bisect_left(grants.granted, recent_at_s, key=lambda grant: grant.at_s)
    return _KnownUse(
        own=own,
        recent=len(grants.granted) - recent,
        elsewhere=elsewhere,
        reserved=reserve_for_silent_hosts(
            allowed, known_hosts=sum(known.values()), heard_hosts=heard
        ),
        demand_per_s=received / DEMAND_WINDOW_S,
        hosts=max(heard, 1),
        lag_s=lag_s,
    )


def _presume_use(
    received: ReceivedSummary,
    name: OrganisationName,
    part: float,
    tolerance: RateTolerance,
) -> int:
    """Return the use of a domain whose hub has had reports for less than a window.

    Processes that ended before may have used the domain's even part, of which the
    reports of the others may show some.
    """
    summary = received.summary
    if summary.reported_s is None:
        return 0
    reported_share = min(1.0, summary.reported_s / tolerance.window_s)
    admitted = _find_usage(summary.usage, name).admitted
    return ceil(part * (1.0 - reported_share) + admitted * reported_share)


def _sum_domain(
    grants: OrganisationGrants,
    name: OrganisationName,
    tolerance: RateTolerance,
    reports: DomainReports,
    now_s: float,
) -> tuple[int, int, int]:
    """Return the admitted and received requests and the heard hosts of the domain.

    Each process counts by its latest report or query, and by the grants since. The
    admissions of silent and ended processes leave the window at an even rate.
    """
    late = _index_grants(grants)
    admitted = received = heard = 0
    for (host_id, incarnation), stated in _list_stated_usage(
        grants, name, reports
    ).items():
        age_s = now_s - stated.at_s
        newest = reports.by_host.get(host_id)
        is_current = newest is None or newest.report.incarnation == incarnation
        if is_current and age_s <= MAX_REPORT_AGE_S:
            heard += age_s <= OVERDUE_REPORT_S
            received += stated.received
            admitted += stated.admitted
        elif age_s < tolerance.window_s:
            admitted += ceil(stated.admitted * (1.0 - age_s / tolerance.window_s))
        times = late.get((host_id, incarnation), [])
        admitted += len(times) - bisect_left(times, stated.at_s - GRANT_DELAY_S)
    return admitted, received, heard


def _list_stated_usage(
    grants: OrganisationGrants, name: OrganisationName, reports: DomainReports
) -> dict[tuple[HostId, Incarnation], QueriedUsage]:
    """Return the usage in the latest report or query of each process."""
    stated: dict[tuple[HostId, Incarnation], QueriedUsage] = {}
    for received in (*reports.superseded, *reports.by_host.values()):
        report = received.report
        usage = _find_usage(report.usage, name)
        stated[(report.host.host_id, report.incarnation)] = QueriedUsage(
            incarnation=report.incarnation,
            admitted=usage.admitted,
            received=usage.received,
            at_s=received.received_s,
        )
    for host_id, queried in grants.queried.items():
        key = (host_id, queried.incarnation)
        if key not in stated or stated[key].at_s < queried.at_s:
            stated[key] = queried
    return stated


def _index_grants(
    grants: OrganisationGrants,
) -> dict[tuple[HostId, Incarnation], list[float]]:
    times: dict[tuple[HostId, Incarnation], list[float]] = {}
    for grant in grants.granted:
        times.setdefault((grant.host_id, grant.incarnation), []).append(grant.at_s)
    return times


def _find_usage(
    usages: tuple[OrganisationUsage, ...], name: OrganisationName
) -> OrganisationUsage:
    none = OrganisationUsage(organisation=name)
    return next((usage for usage in usages if usage.organisation == name), none)
