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
    "UsageBounds",
    "admit_usage",
    "count_usage",
    "log_admitted",
    "log_asked",
    "prune_usage",
]

SAFETY = 0.88  # of what the window allows, for admissions that no view shows yet
RESERVE = 4.0  # requests below that, for their scatter at small rates
DEMAND_WINDOW_S = 0.5  # short, so that a surge shows within two reports
VIEW_LAG_S = 0.6  # a report, a summary and a digest, an interval each at most
UNSEEN_FACTOR = 1.4  # how far demand may exceed what was seen last
MIN_UNSEEN = 1.5  # requests that may be under way to an organisation that was idle
USUAL_ASKED = 2  # requests within the demand window that are no sign of a surge
PRESSED_SHARE = 0.6  # of what is allowed, above which a second one is such a sign
PRESSED_ASKED = 1
VIEW_LIMIT_S = 1.5  # an older view counts as none
SILENT_SHARE = 0.5  # of an even share, which a host without a view may spend
MIN_RETRY_S = 0.1
UNUSED = OrganisationTimes()


@frozen(kw_only=True)
class UsageBounds:
    """Hold how a rate is judged: over windows, with a share and a count of slack."""

    window_s: float
    overshoot: float
    slack: float


def admit_usage(
    rule: OrganisationRule,
    bounds: UsageBounds,
    own: OrganisationTimes,
    view: FleetView,
    *,
    known_hosts: int,
    now_s: float,
    rng: Random,
) -> Admission:
    """Return whether one more request of the organisation keeps the rate.

    `own` are this host's own requests, this one among those asked; `known_hosts`
    counts all hosts that may admit requests, heard of or not. Others admit
    meanwhile what no view shows yet: at most what is asked of them. The chance of
    a request falls as that reaches what is left.
    """
    if rule.rate_per_s == inf:
        return Admitted()
    admitted = _count_since(own.admitted_s, now_s - bounds.window_s)
    allowed = _allowed(rule, bounds)
    known_hosts = max(known_hosts, view.heard_hosts)
    even = allowed / known_hosts
    elsewhere = view.usage.get(rule.name, OrganisationUsage(organisation=rule.name))
    used = admitted + elsewhere.admitted
    is_pressed = used > PRESSED_SHARE * allowed
    demand_per_s = _estimate_demand(
        own, elsewhere, view.heard_hosts, now_s, is_pressed=is_pressed
    )
    if view.as_of_s is None or now_s - view.as_of_s > VIEW_LIMIT_S:
        chance = 1.0 if admitted + 1.0 <= SILENT_SHARE * even else 0.0
    else:
        silent = known_hosts - view.heard_hosts
        left = allowed - used - SILENT_SHARE * even * silent
        chance = left / (UNSEEN_FACTOR * max(MIN_UNSEEN, demand_per_s * VIEW_LAG_S))
    if rng.random() < chance:
        return Admitted()
    reason = (
        f"{admitted} admitted here, {elsewhere.admitted} elsewhere in "
        f"{bounds.window_s:g} s, {allowed:.0f} allowed, {demand_per_s:.0f}/s asked"
    )
    return OverLimit(
        reason=reason, retry_after_s=_retry_after_s(own.admitted_s, now_s, bounds)
    )


def log_asked(log: UsageLog, organisation: OrganisationName, now_s: float) -> UsageLog:
    """Return the log with one more request, admitted or not."""
    own = log.by_organisation.get(organisation, UNUSED)
    own = evolve(own, received_s=(*own.received_s, now_s))
    return evolve(log, by_organisation=log.by_organisation.set(organisation, own))


def log_admitted(
    log: UsageLog, organisation: OrganisationName, now_s: float
) -> UsageLog:
    """Return the log with one more admission."""
    own = log.by_organisation.get(organisation, UNUSED)
    own = evolve(own, admitted_s=(*own.admitted_s, now_s))
    return evolve(log, by_organisation=log.by_organisation.set(organisation, own))


def prune_usage(log: UsageLog, *, window_s: float, now_s: float) -> UsageLog:
    """Return the log without requests that left their windows."""
    kept = log.by_organisation
    for name, own in log.by_organisation.items():
        recent = OrganisationTimes(
            admitted_s=_since(own.admitted_s, now_s - window_s),
            received_s=_since(own.received_s, now_s - DEMAND_WINDOW_S),
        )
        if recent == UNUSED:
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
            received=_count_since(own.received_s, now_s - DEMAND_WINDOW_S),
        )
        for name, own in sorted(log.by_organisation.items())
    )
    return tuple(count for count in counts if count.admitted or count.received)


def _since(times: tuple[float, ...], start_s: float) -> tuple[float, ...]:
    return times[bisect_left(times, start_s) :]


def _count_since(times: tuple[float, ...], start_s: float) -> int:
    return len(times) - bisect_left(times, start_s)


def _estimate_demand(
    own: OrganisationTimes,
    elsewhere: OrganisationUsage,
    hosts: int,
    now_s: float,
    *,
    is_pressed: bool,
) -> float:
    """Return the requests a second that are asked of all hosts.

    A surge shows here before any view shows it: callers press all hosts alike. The
    less is left, the fewer requests are taken as its sign.
    """
    usual = PRESSED_ASKED if is_pressed else USUAL_ASKED
    asked = _count_since(own.received_s, now_s - DEMAND_WINDOW_S)
    by_view = asked + elsewhere.received
    by_surge = max(0, asked - usual) * hosts
    return max(by_view, by_surge) / DEMAND_WINDOW_S


def _allowed(rule: OrganisationRule, bounds: UsageBounds) -> float:
    stated = rule.rate_per_s * bounds.window_s + rule.burst
    return SAFETY * (stated * (1.0 + bounds.overshoot) + bounds.slack) - RESERVE


def _retry_after_s(
    times: tuple[float, ...], now_s: float, bounds: UsageBounds
) -> float:
    """Return when this host's oldest admission leaves the window."""
    oldest_s = next((at_s for at_s in times if at_s > now_s - bounds.window_s), now_s)
    return max(MIN_RETRY_S, oldest_s + bounds.window_s - now_s)
