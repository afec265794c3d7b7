"""Maintain this host's view of the load of each backend server."""

from collections.abc import Iterable, Set
from math import exp

from attrs import evolve

from ...records import (
    AnswerBroken,
    Answered,
    AnswerForeign,
    AnswerLate,
    AttemptCancelled,
    BackendResult,
    ConnectFailed,
    DrainReport,
    ReportedLoad,
    SendBroken,
    ServerId,
    ServerLoad,
    ServerLoads,
    ServerNotices,
    ServiceLoad,
    ServiceName,
    ShedByServer,
)
from .limits import record_result
from .server_limits import record_limit, spend_limit
from .warmup import spend_turn

__all__ = [
    "cancel_reservation",
    "drain_check_at_s",
    "estimate_busy_slots",
    "failure_timeout_of",
    "is_avoided",
    "load_of",
    "mean_busy_of_others",
    "release_server",
    "remove_unused_servers",
    "reserve_server",
    "service_load_of",
]

REPORT_DECAY_S = 0.1
MEAN_DECAY_S = 1.0  # a report's weight in the mean falls by a factor e in this time
# Weight of an assumed idle server, so that servers without reports are tried.
PRIOR_WEIGHT = 0.1
SHED_BACKOFF_S = 0.05
MAX_SHED_BACKOFF_S = 30.0
# Pause after another server has taken over an address, in seconds; the store announces
# the new server within a shorter time.
REPLACED_BACKOFF_S = 5.0
DRAIN_CHECK_S = 5.0  # until the first probe of a draining server; doubles each time
MAX_DRAIN_CHECK_S = 60.0
MAX_DRAIN_RENEWALS = 4
MIN_AVOIDANCE_S = 0.5
# Multiple of the mean service time; a healthy server seldom takes longer.
FAILURE_TIMEOUT_RATIO = 3.0
MAX_AVOIDANCE_S = 10.0
# How long the notices of a server that is not listed any more are kept.
NOTICE_MEMORY_S = 3600.0
NO_LOAD = ServerLoad()
NO_SERVICE_LOAD = ServiceLoad()


def load_of(loads: ServerLoads, server: ServerId) -> ServerLoad:
    """Return the load of one server, an empty one if it was never used."""
    return loads.by_server.get(server, NO_LOAD)


def service_load_of(loads: ServerLoads, service: ServiceName) -> ServiceLoad:
    """Return the load of one service, an empty one if it was never used."""
    return loads.by_service.get(service, NO_SERVICE_LOAD)


def failure_timeout_of(service: ServiceLoad) -> float:
    """Return after how many seconds a missing answer is a server failure."""
    return FAILURE_TIMEOUT_RATIO * service.mean_service_s


def mean_busy_of_others(
    loads: ServerLoads, servers: Iterable[ServerId], now_s: float
) -> float:
    """Return the mean number of slots per server that other hosts use.

    Reports are weighted by age and count for about a second.
    """
    total, weights = 0.0, 0.0
    for server in servers:
        load = load_of(loads, server)
        if load.reported is not None:
            weight = exp((load.reported_at_s - now_s) / MEAN_DECAY_S)
            total += weight * load.others_busy
            weights += weight
    return total / (PRIOR_WEIGHT + weights)


def estimate_busy_slots(load: ServerLoad, mean_others: float, now_s: float) -> float:
    """Return the expected number of busy slots of a server.

    It is this host's attempts in flight plus an estimate of the other hosts' use,
    which decays from the last report to the mean of all servers.
    """
    if load.reported is None:
        return load.in_flight + mean_others
    trust = exp((load.reported_at_s - now_s) / REPORT_DECAY_S)
    return load.in_flight + mean_others + trust * (load.others_busy - mean_others)


def is_avoided(load: ServerLoad, now_s: float, *, repeatable: bool) -> bool:
    """Return whether the host prefers other servers because of failures.

    After the avoidance time, a single repeatable attempt probes the server; attempts
    that are not repeatable avoid it for longer.
    """
    if load.failures == 0:
        return False
    if repeatable:
        return now_s < load.avoid_until_s or load.in_flight > 0
    return now_s < load.avoid_until_s + MAX_AVOIDANCE_S


def drain_check_at_s(drain: DrainReport) -> float:
    """Return when a single request may probe a server that reported a drain."""
    delay_s = min(MAX_DRAIN_CHECK_S, DRAIN_CHECK_S * 2.0**drain.renewals)
    return drain.reported_at_s + delay_s


def reserve_server(
    loads: ServerLoads, server: ServerId, *, hosts: int = 1, now_s: float = 0.0
) -> ServerLoads:
    """Return the loads with one more attempt in flight on the server.

    `hosts` counts the hosts that share the server's limit, if it has one.
    """
    loads = _add_in_flight(loads, server, 1)
    load = load_of(loads, server)
    if load.limit is None and load.warmup is None:
        return loads
    load = evolve(
        load,
        limit=spend_limit(load.limit, hosts=hosts, now_s=now_s),
        warmup=spend_turn(load.warmup, now_s=now_s),
    )
    return evolve(loads, by_server=loads.by_server.set(server, load))


def cancel_reservation(loads: ServerLoads, server: ServerId) -> ServerLoads:
    """Return the loads without a reserved attempt that was never sent."""
    return _add_in_flight(loads, server, -1)


def release_server(
    loads: ServerLoads,
    server: ServerId,
    result: BackendResult,
    *,
    started_s: float,
    now_s: float,
    hosts: int = 1,
    phase: float = 1.0,
) -> ServerLoads:
    """Return the loads after the end of an attempt, updated by its result.

    The `hosts` of the fleet share the server's limit; `phase` is a random number from
    0 to 1.
    """
    loads = _add_in_flight(loads, server, -1)
    load = load_of(loads, server)
    failure_timeout_s = failure_timeout_of(service_load_of(loads, server.service))
    match result:
        case Answered(load=report):
            load = _record_report(load, report, started_s=started_s, now_s=now_s)
            load = evolve(load, failures=0, avoid_until_s=0.0)
        case ShedByServer(is_replaced=True):
            load = _back_off(load, REPLACED_BACKOFF_S, now_s)
        case ShedByServer(load=report, retry_after_s=retry_after_s):
            load = _record_report(load, report, started_s=started_s, now_s=now_s)
            load = _back_off(load, retry_after_s, now_s)
        case AttemptCancelled():
            load = _extend_drain(load, started_s=started_s, now_s=now_s)
        case AnswerLate(waited_s=waited_s) if waited_s < failure_timeout_s:
            load = _extend_drain(load, started_s=started_s, now_s=now_s)
        case (
            AnswerBroken()
            | AnswerForeign()
            | AnswerLate()
            | ConnectFailed()
            | SendBroken()
        ):
            load = _extend_drain(load, started_s=started_s, now_s=now_s)
            load = _record_failure(load, now_s)
    notices = _notices_of(result)
    if notices is not None:
        limit = record_limit(
            load.limit, notices.limit_per_s, hosts=hosts, phase=phase, now_s=now_s
        )
        load = _record_notices(evolve(load, limit=limit), notices, now_s)
    service = record_result(
        service_load_of(loads, server.service), result, duration_s=now_s - started_s
    )
    return evolve(
        loads,
        by_server=loads.by_server.set(server, load),
        by_service=loads.by_service.set(server.service, service),
    )


def _notices_of(result: BackendResult) -> ServerNotices | None:
    match result:
        case (
            Answered(notices=notices)
            | ShedByServer(notices=notices, is_replaced=False)
            | AnswerBroken(notices=notices)
        ):
            return notices
        case _:
            return None


def _record_notices(
    load: ServerLoad, notices: ServerNotices, now_s: float
) -> ServerLoad:
    if notices.is_leaving:
        load = evolve(load, is_leaving=True, noticed_s=now_s)
    if notices.pause_s is not None:
        until_s = max(load.pause_until_s, now_s + notices.pause_s)
        load = evolve(load, pause_until_s=until_s, noticed_s=now_s)
    return load


def remove_unused_servers(
    loads: ServerLoads, used: Set[ServerId], *, now_s: float
) -> ServerLoads:
    """Return the loads without servers that are idle and not in `used`.

    Servers that asked for no requests are kept for some time, since the store may list
    them again.
    """
    by_server = loads.by_server
    for server, load in loads.by_server.items():
        is_noted = load.noticed_s > 0.0 and now_s < load.noticed_s + NOTICE_MEMORY_S
        if server not in used and load.in_flight == 0 and not is_noted:
            by_server = by_server.delete(server)
    if by_server is loads.by_server:
        return loads
    return evolve(loads, by_server=by_server)


def _add_in_flight(loads: ServerLoads, server: ServerId, delta: int) -> ServerLoads:
    load = load_of(loads, server)
    load = evolve(load, in_flight=load.in_flight + delta)
    service = service_load_of(loads, server.service)
    service = evolve(service, in_flight=service.in_flight + delta)
    return evolve(
        loads,
        by_server=loads.by_server.set(server, load),
        by_service=loads.by_service.set(server.service, service),
    )


def _record_report(
    load: ServerLoad, report: ReportedLoad | None, *, started_s: float, now_s: float
) -> ServerLoad:
    if report is None:
        return _extend_drain(load, started_s=started_s, now_s=now_s)
    others = max(0, report.busy - load.in_flight)
    load = evolve(load, reported=report, reported_at_s=now_s, others_busy=others)
    match report.draining, load.drain:
        case True, None:
            return evolve(load, drain=DrainReport(reported_at_s=now_s))
        case True, DrainReport(reported_at_s=at_s) as drain if started_s <= at_s:
            return evolve(load, drain=evolve(drain, reported_at_s=now_s))
        case True, DrainReport():
            return _extend_drain(load, started_s=started_s, now_s=now_s)
        case False, DrainReport(reported_at_s=at_s) if started_s > at_s:
            return evolve(load, drain=None, ramp_from_s=now_s)
        case _:
            return load


def _extend_drain(load: ServerLoad, *, started_s: float, now_s: float) -> ServerLoad:
    """Extend the drain if an attempt that started after its report did not end it."""
    match load.drain:
        case DrainReport(reported_at_s=at_s, renewals=renewals) if started_s > at_s:
            renewals = min(MAX_DRAIN_RENEWALS, renewals + 1)
            return evolve(
                load, drain=DrainReport(reported_at_s=now_s, renewals=renewals)
            )
        case _:
            return load


def _record_failure(load: ServerLoad, now_s: float) -> ServerLoad:
    delay_s = min(MAX_AVOIDANCE_S, MIN_AVOIDANCE_S * 2.0 ** min(load.failures, 10))
    return evolve(load, failures=load.failures + 1, avoid_until_s=now_s + delay_s)


def _back_off(
    load: ServerLoad, retry_after_s: float | None, now_s: float
) -> ServerLoad:
    delay_s = SHED_BACKOFF_S if retry_after_s is None else retry_after_s
    until_s = now_s + min(MAX_SHED_BACKOFF_S, max(SHED_BACKOFF_S, delay_s))
    return evolve(load, backoff_until_s=max(load.backoff_until_s, until_s))
