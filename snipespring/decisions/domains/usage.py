"""Limit an organisation's requests to a fleet-wide rate by counts that hosts share."""

from bisect import bisect_left
from math import inf
from random import Random

from attrs import evolve, frozen

from ...records import (
    Admission,
    Admitted,
    FleetView,
    OrganisationName,
    OrganisationRule,
    OrganisationTimes,
    OrganisationUsage,
    OverLimit,
    UsageLog,
)

__all__ = [
    "RateTolerance",
    "admit_request",
    "admit_without_hub",
    "count_organisation_usage",
    "count_times",
    "count_usage",
    "max_window_admissions",
    "prune_usage",
    "record_admission",
    "record_request",
    "reserve_for_silent_hosts",
]

# Share of the limit to use in a window; the rest covers admissions not in any view yet.
SAFETY_FACTOR = 0.88
# Subtracted from that share of the limit, to cover the variance at small rates.
RESERVED_REQUESTS = 4.0
# Two intervals between a host's reports, so that two reports show a whole surge.
DEMAND_WINDOW_S = 0.5
# Assumed age of a view. Counts reach a host in up to three messages (a host's report,
# its domain's summary and a digest), each delayed by at most one report interval.
VIEW_LAG_S = 0.6
UNSEEN_DEMAND_FACTOR = 1.4  # highest ratio of actual to last observed demand
MIN_UNSEEN_REQUESTS = 1.5  # requests in flight for an organisation that was idle
# Only more requests than this within the demand window indicate a surge.
BASELINE_REQUESTS = 2
# Above this share of the limit, the second request already indicates a surge.
NEAR_LIMIT_SHARE = 0.6
NEAR_LIMIT_BASELINE_REQUESTS = 1  # replaces BASELINE_REQUESTS above that share
MAX_VIEW_AGE_S = 1.5  # an older view is ignored
# Part of its even share of the limit that a host without a recent view may use.
NO_VIEW_SHARE = 0.5
# Part of its even share of what is left that a host uses without its hub's answer.
WITHOUT_HUB_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.1
NO_REQUESTS = OrganisationTimes()


@frozen(kw_only=True)
class RateTolerance:
    """Set the tolerance of a rate limit over any window of `window_s` seconds.

    A window may hold `1 + overshoot` times the rate and burst, plus `slack` requests.
    """

    window_s: float
    overshoot: float
    slack: float


def admit_request(
    rule: OrganisationRule,
    tolerance: RateTolerance,
    local_times: OrganisationTimes,
    view: FleetView,
    *,
    known_hosts: int,
    now_s: float,
    rng: Random,
) -> Admission:
    """Decide whether to admit one more request of the organisation.

    `local_times` are the times of this host's own requests and include this one;
    `known_hosts` counts all hosts that may admit requests, reporting or not. The view
    does not show the newest requests of other hosts, which these may all admit. The
    probability of admission therefore falls as their estimated number approaches the
    number of admissions that remain in the window.
    """
    if rule.rate_per_s == inf:
        return Admitted()
    admitted = count_times(local_times.admitted_s, now_s - tolerance.window_s)
    allowed = _max_admissions(rule, tolerance)
    known_hosts = max(known_hosts, view.heard_hosts)
    even_share = allowed / known_hosts
    elsewhere = view.usage.get(rule.name, OrganisationUsage(organisation=rule.name))
    used = admitted + elsewhere.admitted
    is_near_limit = used > NEAR_LIMIT_SHARE * allowed
    demand_per_s = _estimate_demand(
        local_times, elsewhere, view.heard_hosts, now_s, is_near_limit=is_near_limit
    )
    if view.as_of_s is None or now_s - view.as_of_s > MAX_VIEW_AGE_S:
        probability = 1.0 if admitted + 1.0 <= NO_VIEW_SHARE * even_share else 0.0
    else:
        silent_hosts = known_hosts - view.heard_hosts
        remaining = allowed - used - NO_VIEW_SHARE * even_share * silent_hosts
        probability = remaining / (
            UNSEEN_DEMAND_FACTOR * max(MIN_UNSEEN_REQUESTS, demand_per_s * VIEW_LAG_S)
        )
    if rng.random() < probability:
        return Admitted()
    reason = (
        f"rate limit: {admitted} admitted here and {elsewhere.admitted} elsewhere in "
        f"{tolerance.window_s:g} s, {allowed:.0f} allowed, demand {demand_per_s:.0f}/s"
    )
    return OverLimit(
        reason=reason,
        retry_after_s=_retry_after_s(local_times.admitted_s, now_s, tolerance),
    )


def admit_without_hub(
    rule: OrganisationRule,
    tolerance: RateTolerance,
    local_times: OrganisationTimes,
    view: FleetView,
    *,
    known_hosts: int,
    running_s: float,
    now_s: float,
    rng: Random,
) -> Admission:
    """Decide whether to admit a request that the hub should have decided.

    `running_s` is the age of this process. Since the time that the view shows, this
    host may use part of its even share of what was left, whatever the demand is; the
    hub may grant the rest to the other hosts.
    """
    if view.as_of_s is not None and now_s - view.as_of_s > MAX_VIEW_AGE_S:
        return admit_request(
            rule,
            tolerance,
            local_times,
            view,
            known_hosts=known_hosts,
            now_s=now_s,
            rng=rng,
        )
    known_hosts = max(known_hosts, view.heard_hosts)
    allowed = _max_admissions(rule, tolerance)
    reserved = reserve_for_silent_hosts(
        allowed, known_hosts=known_hosts, heard_hosts=view.heard_hosts
    )
    elsewhere = view.usage.get(rule.name, OrganisationUsage(organisation=rule.name))
    admitted = count_times(local_times.admitted_s, now_s - tolerance.window_s)
    recent = admitted
    if view.as_of_s is not None:
        recent_at_s = view.as_of_s - VIEW_LAG_S
        recent = min(admitted, count_times(local_times.admitted_s, recent_at_s))
    left = allowed - reserved - elsewhere.admitted - (admitted - recent)
    part = WITHOUT_HUB_SHARE * left / view.heard_hosts
    if view.as_of_s is None:
        part = NO_VIEW_SHARE * allowed / known_hosts
    # No report shows what the previous process of this host admitted.
    part *= min(1.0, running_s / tolerance.window_s)
    if rng.random() < part - recent:
        return Admitted()
    reason = (
        f"rate limit: {admitted} admitted here and {elsewhere.admitted} elsewhere in "
        f"{tolerance.window_s:g} s, {allowed - reserved:.0f} allowed, {recent} of this "
        f"host's part of {max(0.0, part):.1f} admitted without an answer of the hub"
    )
    return OverLimit(
        reason=reason,
        retry_after_s=_retry_after_s(local_times.admitted_s, now_s, tolerance),
    )


def reserve_for_silent_hosts(
    allowed: float, *, known_hosts: int, heard_hosts: int
) -> float:
    """Return the part of the window that belongs to hosts which are not heard.

    Hosts that hear less than half of the fleet use `NO_VIEW_SHARE` of their even
    shares, and the others leave as much, so that the two parts of a divided fleet keep
    the limit together. Each of two halves uses its even shares.
    """
    even_share = allowed / max(1, known_hosts)
    silent_hosts = max(0, known_hosts - heard_hosts)
    if heard_hosts * 2 < known_hosts:
        return allowed - NO_VIEW_SHARE * even_share * heard_hosts
    is_half = heard_hosts * 2 == known_hosts
    return (1.0 if is_half else NO_VIEW_SHARE) * even_share * silent_hosts


def record_request(
    log: UsageLog, organisation: OrganisationName, now_s: float
) -> UsageLog:
    """Return the log with one more request, admitted or not."""
    times = log.by_organisation.get(organisation, NO_REQUESTS)
    times = evolve(times, received_s=(*times.received_s, now_s))
    return evolve(log, by_organisation=log.by_organisation.set(organisation, times))


def record_admission(
    log: UsageLog, organisation: OrganisationName, now_s: float
) -> UsageLog:
    """Return the log with one more admission."""
    times = log.by_organisation.get(organisation, NO_REQUESTS)
    times = evolve(times, admitted_s=(*times.admitted_s, now_s))
    return evolve(log, by_organisation=log.by_organisation.set(organisation, times))


def prune_usage(log: UsageLog, *, window_s: float, now_s: float) -> UsageLog:
    """Return the log without requests older than their windows."""
    by_organisation = log.by_organisation
    for name, times in log.by_organisation.items():
        recent = OrganisationTimes(
            admitted_s=_times_since(times.admitted_s, now_s - window_s),
            received_s=_times_since(times.received_s, now_s - DEMAND_WINDOW_S),
        )
        if recent == NO_REQUESTS:
            by_organisation = by_organisation.delete(name)
        elif recent != times:
            by_organisation = by_organisation.set(name, recent)
    return evolve(log, by_organisation=by_organisation)


def count_usage(
    log: UsageLog, *, window_s: float, now_s: float
) -> tuple[OrganisationUsage, ...]:
    """Return the number of requests of each organisation within the windows."""
    counts = (
        count_organisation_usage(name, times, window_s=window_s, now_s=now_s)
        for name, times in sorted(log.by_organisation.items())
    )
    return tuple(count for count in counts if count.admitted or count.received)


def count_organisation_usage(
    name: OrganisationName,
    times: OrganisationTimes,
    *,
    window_s: float,
    now_s: float,
) -> OrganisationUsage:
    """Return the number of requests of one organisation within the windows."""
    return OrganisationUsage(
        organisation=name,
        admitted=count_times(times.admitted_s, now_s - window_s),
        received=count_times(times.received_s, now_s - DEMAND_WINDOW_S),
    )


def count_times(times: tuple[float, ...], start_s: float) -> int:
    """Return how many of the times, oldest first, are not before `start_s`."""
    return len(times) - bisect_left(times, start_s)


def max_window_admissions(rule: OrganisationRule, tolerance: RateTolerance) -> float:
    """Return the number of requests that any window may hold."""
    nominal = rule.rate_per_s * tolerance.window_s + rule.burst
    return nominal * (1.0 + tolerance.overshoot) + tolerance.slack


def _times_since(times: tuple[float, ...], start_s: float) -> tuple[float, ...]:
    return times[bisect_left(times, start_s) :]


def _estimate_demand(
    local_times: OrganisationTimes,
    elsewhere: OrganisationUsage,
    hosts: int,
    now_s: float,
    *,
    is_near_limit: bool,
) -> float:
    """Return the requests per second that all hosts receive.

    A surge shows in this host's own requests before any view shows it, since
    callers spread their requests evenly over the hosts. Near the limit, fewer
    requests suffice to indicate one.
    """
    baseline = NEAR_LIMIT_BASELINE_REQUESTS if is_near_limit else BASELINE_REQUESTS
    received = count_times(local_times.received_s, now_s - DEMAND_WINDOW_S)
    from_view = received + elsewhere.received
    from_surge = max(0, received - baseline) * hosts
    return max(from_view, from_surge) / DEMAND_WINDOW_S


def _max_admissions(rule: OrganisationRule, tolerance: RateTolerance) -> float:
    return SAFETY_FACTOR * max_window_admissions(rule, tolerance) - RESERVED_REQUESTS


def _retry_after_s(
    times: tuple[float, ...], now_s: float, tolerance: RateTolerance
) -> float:
    """Return the seconds until this host's oldest admission leaves the window."""
    oldest_s = next(
        (at_s for at_s in times if at_s > now_s - tolerance.window_s), now_s
    )
    return max(MIN_RETRY_AFTER_S, oldest_s + tolerance.window_s - now_s)
