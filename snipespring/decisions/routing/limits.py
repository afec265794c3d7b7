"""Limit a host's attempts in flight on a service whose slots are all busy."""

from attrs import evolve
from immutables import Map

from ...records import (
    Answered,
    BackendResult,
    DemandCounts,
    ReportedLoad,
    RouteLoad,
    ServiceLoad,
    ShedByServer,
)

__all__ = [
    "answer_s_of",
    "has_free_slots",
    "list_answer_times",
    "mean_work_s_of",
    "record_result",
    "route_load_of",
    "work_s_of",
]

MEAN_WEIGHT = 0.1  # weight of each new value in the moving means
# Mean absolute deviation that is assumed after one answer, as a share of its duration.
FIRST_DEVIATION = 0.5
# If at least this share of slots is busy on average, a shed request means that the
# whole service is full.
FULL_BUSY_SHARE = 0.8
LIMIT_DECREASE_FACTOR = 0.7
LIMIT_INCREASE = 0.1
MIN_LIMIT = 1.0


def has_free_slots(
    service: ServiceLoad, slots: int, fleet: DemandCounts | None = None
) -> bool:
    """Return whether reported loads show a service with free slots.

    Those on the recent answers of other hosts, in `fleet`, go before those on this
    host's answers, which are few. Its servers have `slots` slots each.
    """
    if fleet is not None and fleet.slots:
        return fleet.used_slots < FULL_BUSY_SHARE * fleet.slots
    return service.has_reports and service.busy < FULL_BUSY_SHARE * slots


def answer_s_of(service: ServiceLoad, route: str) -> float:
    """Return the mean duration of a route's answers, that of the service if unknown."""
    load = service.by_route.get(route)
    return service.mean_service_s if load is None else load.answer_s


def route_load_of(service: ServiceLoad, route: str) -> RouteLoad | None:
    """Return how long a service takes for a route, None if no answer was seen."""
    return service.by_route.get(route)


def list_answer_times(service: ServiceLoad) -> Map[str, float]:
    """Return the mean duration of the answers of each route in seconds."""
    return Map({route: load.answer_s for route, load in service.by_route.items()})


def work_s_of(service: ServiceLoad, route: str) -> float:
    """Return the mean work of a route's requests, 0 if no answer of it was seen."""
    load = service.by_route.get(route)
    return 0.0 if load is None else load.work_s


def mean_work_s_of(service: ServiceLoad) -> float:
    """Return the mean work of the service's routes, each counted once."""
    works = [load.work_s for load in service.by_route.values()]
    return sum(works) / len(works) if works else 0.0


def record_result(
    service: ServiceLoad, result: BackendResult, *, duration_s: float, route: str = ""
) -> ServiceLoad:
    """Return the load with updated means and limit.

    A request shed by a full service lowers the limit; each answer raises it.
    """
    match result:
        case Answered(load=report):
            service = _record_answer(service, duration_s)
            service = _record_route(service, route, report, duration_s)
            if report is None:
                return service
            busy = service.busy + MEAN_WEIGHT * (report.busy - service.busy)
            return evolve(service, busy=busy, has_reports=True)
        case ShedByServer(load=report) if report is not None:
            # A shed by a server with free slots does not indicate a full service.
            if report.draining or report.busy < report.slots:
                return service
            if service.busy < FULL_BUSY_SHARE * report.slots:
                return service
            effective = min(service.limit, service.in_flight + 1.0)
            return evolve(
                service, limit=max(MIN_LIMIT, effective * LIMIT_DECREASE_FACTOR)
            )
        case _:
            return service


def _record_answer(service: ServiceLoad, duration_s: float) -> ServiceLoad:
    mean_s = service.mean_service_s or duration_s
    mean_s += MEAN_WEIGHT * (duration_s - mean_s)
    return evolve(service, mean_service_s=mean_s, limit=service.limit + LIMIT_INCREASE)


def _record_route(
    service: ServiceLoad, route: str, report: ReportedLoad | None, duration_s: float
) -> ServiceLoad:
    work_s = duration_s
    if report is not None and report.busy > report.slots > 0:
        # The requests of a full server share its slots, so that each waits.
        work_s *= report.slots / report.busy
    known = service.by_route.get(route)
    if known is None:
        load = RouteLoad(
            answer_s=duration_s,
            work_s=work_s,
            deviation_s=FIRST_DEVIATION * duration_s,
        )
    else:
        load = RouteLoad(
            answer_s=known.answer_s + MEAN_WEIGHT * (duration_s - known.answer_s),
            work_s=known.work_s + MEAN_WEIGHT * (work_s - known.work_s),
            deviation_s=known.deviation_s
            + MEAN_WEIGHT * (abs(duration_s - known.answer_s) - known.deviation_s),
        )
    return evolve(service, by_route=service.by_route.set(route, load))
