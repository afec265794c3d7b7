"""Keep this host's view of the load of each backend server."""

from attrs import evolve

from ...records import (
    Answered,
    BackendResult,
    DrainSign,
    ReportedLoad,
    ServerId,
    ServerLoad,
    ServerLoads,
    ShedByServer,
)

__all__ = [
    "cancel_reservation",
    "drain_check_at_s",
    "estimate_busy",
    "load_of",
    "release_server",
    "report_end_s",
    "reserve_server",
]

REPORT_LIFETIME_S = 0.1
SHED_BACKOFF_S = 0.05
MAX_SHED_BACKOFF_S = 30.0
DRAIN_CHECK_S = 5.0
MAX_DRAIN_CHECK_S = 60.0
MAX_DRAIN_RENEWALS = 4
SERVICE_TIME_WEIGHT = 0.1
UNUSED = ServerLoad()


def load_of(loads: ServerLoads, server: ServerId) -> ServerLoad:
    """Return the view of one server, an empty one if it was never used."""
    return loads.by_server.get(server, UNUSED)


def estimate_busy(load: ServerLoad, now_s: float) -> int:
    """Return the slots in use: this host's own and the others' last reported."""
    if now_s < report_end_s(load):
        return load.in_flight + load.others
    return load.in_flight


def report_end_s(load: ServerLoad) -> float:
    """Return when the last report is too old to count."""
    return load.reported_at_s + REPORT_LIFETIME_S


def drain_check_at_s(sign: DrainSign) -> float:
    """Return when a server that drained may be tried by one request again."""
    delay_s = min(MAX_DRAIN_CHECK_S, DRAIN_CHECK_S * 2.0**sign.renewals)
    return sign.at_s + delay_s


def reserve_server(loads: ServerLoads, server: ServerId) -> ServerLoads:
    """Return the loads with one more attempt in flight on the server."""
    load = load_of(loads, server)
    load = evolve(load, in_flight=load.in_flight + 1)
    return evolve(loads, by_server=loads.by_server.set(server, load))


def release_server(
    loads: ServerLoads,
    server: ServerId,
    result: BackendResult,
    *,
    started_s: float,
    now_s: float,
) -> ServerLoads:
    """Return the loads with one attempt less and with what its result told."""
    load = load_of(loads, server)
    load = evolve(load, in_flight=load.in_flight - 1)
    match result:
        case Answered(load=report):
            load = _note_report(load, report, started_s=started_s, now_s=now_s)
            loads = _observe_service_time(loads, server, now_s - started_s)
        case ShedByServer(load=report, retry_after_s=retry_after_s):
            load = _note_report(load, report, started_s=started_s, now_s=now_s)
            load = _back_off(load, retry_after_s, now_s)
        case _:
            load = _renew_sign(load, started_s=started_s, now_s=now_s)
    return evolve(loads, by_server=loads.by_server.set(server, load))


def cancel_reservation(loads: ServerLoads, server: ServerId) -> ServerLoads:
    """Return the loads with one attempt less, which was never sent."""
    load = load_of(loads, server)
    load = evolve(load, in_flight=load.in_flight - 1)
    return evolve(loads, by_server=loads.by_server.set(server, load))


def _observe_service_time(
    loads: ServerLoads, server: ServerId, duration_s: float
) -> ServerLoads:
    mean_s = loads.service_s.get(server.service, duration_s)
    mean_s += SERVICE_TIME_WEIGHT * (duration_s - mean_s)
    return evolve(loads, service_s=loads.service_s.set(server.service, mean_s))


def _note_report(
    load: ServerLoad, report: ReportedLoad | None, *, started_s: float, now_s: float
) -> ServerLoad:
    if report is None:
        return _renew_sign(load, started_s=started_s, now_s=now_s)
    others = max(0, report.busy - load.in_flight)
    load = evolve(load, reported=report, reported_at_s=now_s, others=others)
    match report.draining, load.drain:
        case True, None:
            return evolve(load, drain=DrainSign(at_s=now_s))
        case True, DrainSign(at_s=at_s) as sign if started_s <= at_s:
            return evolve(load, drain=evolve(sign, at_s=now_s))
        case True, DrainSign():
            return _renew_sign(load, started_s=started_s, now_s=now_s)
        case False, DrainSign(at_s=at_s) if started_s > at_s:
            return evolve(load, drain=None, ramp_from_s=now_s)
        case _:
            return load


def _renew_sign(load: ServerLoad, *, started_s: float, now_s: float) -> ServerLoad:
    """Lengthen the wait if an attempt later than the sign did not clear it."""
    match load.drain:
        case DrainSign(at_s=at_s, renewals=renewals) if started_s > at_s:
            renewals = min(MAX_DRAIN_RENEWALS, renewals + 1)
            return evolve(load, drain=DrainSign(at_s=now_s, renewals=renewals))
        case _:
            return load


def _back_off(
    load: ServerLoad, retry_after_s: float | None, now_s: float
) -> ServerLoad:
    delay_s = SHED_BACKOFF_S if retry_after_s is None else retry_after_s
    until_s = now_s + min(MAX_SHED_BACKOFF_S, max(SHED_BACKOFF_S, delay_s))
    return evolve(load, backoff_until_s=max(load.backoff_until_s, until_s))
