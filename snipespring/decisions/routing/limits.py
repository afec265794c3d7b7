"""Limit a host's attempts in flight on a service whose slots are all busy."""

from attrs import evolve

from ...records import Answered, BackendResult, ServiceLoad, ShedByServer

__all__ = ["record_result"]

MEAN_WEIGHT = 0.1  # weight of each new value in the moving means
# If at least this share of slots is busy on average, a shed request means that the
# whole service is full.
FULL_BUSY_SHARE = 0.8
LIMIT_DECREASE_FACTOR = 0.7
LIMIT_INCREASE = 0.1
MIN_LIMIT = 1.0


def record_result(
    service: ServiceLoad, result: BackendResult, *, duration_s: float
) -> ServiceLoad:
    """Return the load with updated means and limit.

    A request shed by a full service lowers the limit; each answer raises it.
    """
    match result:
        case Answered(load=report):
            service = _record_answer(service, duration_s)
            if report is None:
                return service
            busy = service.busy + MEAN_WEIGHT * (report.busy - service.busy)
            return evolve(service, busy=busy)
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
