"""Admit requests inside a fleet-wide rate, by counts that hosts share."""

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
    "count_usage",
    "record_admission",
    "record_request",
    "prune_usage",
]

SAFETY_FACTOR = 0.88  # of what the window allows, for admissions that no view shows yet
RESERVED_REQUESTS = 4.0  # requests below that, for their scatter at small rates
DEMAND_WINDOW_S = 0.5  # short, so that a surge shows within two reports
VIEW_LAG_S = 0.6  # a report, a summary and a digest, an interval each at most
UNSEEN_DEMAND_FACTOR = 1.4  # how far demand may exceed what was seen last
MIN_UNSEEN_REQUESTS = (
    1.5  # requests that may be under way to an organisation that was idle
)
BASELINE_REQUESTS = 2  # requests within the demand window that are no sign of a surge
NEAR_LIMIT_SHARE = 0.6  # of what is allowed, above which a second one is such a sign
NEAR_LIMIT_BASELINE_REQUESTS = 1
MAX_VIEW_AGE_S = 1.5  # an older view counts as none
NO_VIEW_SHARE = 0.5  # of an even share, which a host without a view may spend
MIN_RETRY_AFTER_S = 0.1
NO_REQUESTS = OrganisationTimes()


@frozen(kw_only=True)
class RateTolerance:
    """Hold how a rate is judged: over windows, with a share and a count of slack."""

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
    """Return whether one more request of the organisation keeps the rate.

    `local_times` are the times of this host's own requests, with this one among
    those asked; `known_hosts` counts all hosts that may admit requests, reporting
    or not. Meanwhile, other hosts admit requests that no view shows yet, at most
    as many as are asked of them. The chance that a request is admitted falls as
    that number approaches the admissions left.
    """
    if rule.rate_per_s == inf:
        return Admitted()
    admitted = _count_since(local_times.admitted_s, now_s - tolerance.window_s)
    allowed = _max_admissions(rule, tolerance)
    known_hosts = max(known_hosts, view.heard_hosts)
    even = allowed / known_hosts
    elsewhere = view.usage.get(rule.name, OrganisationUsage(organisation=rule.name))
    used = admitted + elsewhere.admitted
    is_pressed = used > NEAR_LIMIT_SHARE * allowed
    demand_per_s = _estimate_demand(
        local_times, elsewhere, view.heard_hosts, now_s, is_near_limit=is_pressed
    )
    if view.as_of_s is None or now_s - view.as_of_s > MAX_VIEW_AGE_S:
        chance = 1.0 if admitted + 1.0 <= NO_VIEW_SHARE * even else 0.0
    else:
        silent = known_hosts - view.heard_hosts
        left = allowed - used - NO_VIEW_SHARE * even * silent
        chance = left / (
            UNSEEN_DEMAND_FACTOR * max(MIN_UNSEEN_REQUESTS, demand_per_s * VIEW_LAG_S)
        )
    if rng.random() < chance:
        return Admitted()
    reason = (
        f"{admitted} admitted here, {elsewhere.admitted} elsewhere in "
        f"{tolerance.window_s:g} s, {allowed:.0f} allowed, {demand_per_s:.0f}/s asked"
    )
    return OverLimit(
        reason=reason,
        retry_after_s=_retry_after_s(local_times.admitted_s, now_s, tolerance),
    )


def record_request(
    log: UsageLog, organisation: OrganisationName, now_s: float
) -> UsageLog:
    """Return the log with one more request, admitted or not."""
    own = log.by_organisation.get(organisation, NO_REQUESTS)
    own = evolve(own, asked_s=(*own.asked_s, now_s))
    return evolve(log, by_organisation=log.by_organisation.set(organisation, own))


def record_admission(
    log: UsageLog, organisation: OrganisationName, now_s: float
) -> UsageLog:
    """Return the log with one more admission."""
    own = log.by_organisation.get(organisation, NO_REQUESTS)
    own = evolve(own, admitted_s=(*own.admitted_s, now_s))
    return evolve(log, by_organisation=log.by_organisation.set(organisation, own))


def prune_usage(log: UsageLog, *, window_s: float, now_s: float) -> UsageLog:
    """Return the log without requests that left their windows."""
    kept = log.by_organisation
    for name, own in log.by_organisation.items():
        recent = OrganisationTimes(
            admitted_s=_times_since(own.admitted_s, now_s - window_s),
            asked_s=_times_since(own.asked_s, now_s - DEMAND_WINDOW_S),
        )
        if recent == NO_REQUESTS:
            kept = kept.delete(name)
        elif recent != own:
            kept = kept.set(name, recent)
    return evolve(log, by_organisation=kept)


def count_usage(
    log: UsageLog, *, window_s: float, now_s: float
) -> tuple[OrganisationUsage, ...]:
    """Return how many requests of each organisation the windows hold."""
    counts = (
        OrganisationUsage(
            organisation=name,
            admitted=_count_since(own.admitted_s, now_s - window_s),
            asked=_count_since(own.asked_s, now_s - DEMAND_WINDOW_S),
        )
        for name, own in sorted(log.by_organisation.items())
    )
    return tuple(count for count in counts if count.admitted or count.asked)


def _times_since(times: tuple[float, ...], start_s: float) -> tuple[float, ...]:
    return times[bisect_left(times, start_s) :]


def _count_since(times: tuple[float, ...], start_s: float) -> int:
    return len(times) - bisect_left(times, start_s)


def _estimate_demand(
    local_times: OrganisationTimes,
    elsewhere: OrganisationUsage,
    hosts: int,
    now_s: float,
    *,
    is_near_limit: bool,
) -> float:
    """Return the requests a second that are asked of all hosts.

    A surge shows here before any view shows it: callers press all hosts alike. The
    less is left, the fewer requests are taken as its sign.
    """
    usual = NEAR_LIMIT_BASELINE_REQUESTS if is_near_limit else BASELINE_REQUESTS
    asked = _count_since(local_times.asked_s, now_s - DEMAND_WINDOW_S)
    by_view = asked + elsewhere.asked
    by_surge = max(0, asked - usual) * hosts
    return max(by_view, by_surge) / DEMAND_WINDOW_S


def _max_admissions(rule: OrganisationRule, tolerance: RateTolerance) -> float:
    stated = rule.rate_per_s * tolerance.window_s + rule.burst
    return (
        SAFETY_FACTOR * (stated * (1.0 + tolerance.overshoot) + tolerance.slack)
        - RESERVED_REQUESTS
    )


def _retry_after_s(
    times: tuple[float, ...], now_s: float, tolerance: RateTolerance
) -> float:
    """Return when this host's oldest admission leaves the window."""
    oldest_s = next(
        (at_s for at_s in times if at_s > now_s - tolerance.window_s), now_s
    )
    return max(MIN_RETRY_AFTER_S, oldest_s + tolerance.window_s - now_s)
