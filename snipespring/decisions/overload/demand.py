"""Count the demand on services and add up the counts of hosts.

The load is that of a fleet whose hosts get few requests each: one host's requests tell
little about the demand on a service, their sum over all hosts tells it well.
"""

from collections.abc import Iterable
from itertools import zip_longest
from math import floor

from attrs import evolve
from immutables import Map

from ...records import (
    URGENCIES,
    Answered,
    BackendResult,
    DemandCounts,
    DemandLog,
    DemandSlice,
    ServiceDemand,
    ServiceName,
    ShedByServer,
)

__all__ = [
    "add_counts",
    "add_demand",
    "count_demand",
    "count_first",
    "count_offered",
    "count_report",
    "count_retry",
    "keep_retries",
    "level_of",
    "subtract_demand",
    "sum_demand",
]

SLICE_S = 0.25  # the interval between reports
# Long enough for some hundred requests of a fleet, short enough for a wave of 13 s.
RECENT_S = 2.0
LEVELS_PER_URGENCY = 2
NO_COUNTS = DemandCounts()


def level_of(urgency: int, work_s: float, mean_work_s: float) -> int:
    """Return the level of a request, 0 for the costliest to lose.

    Urgency decides, then whether the request needs more work than the mean.
    """
    return LEVELS_PER_URGENCY * _cap(urgency) + (work_s > mean_work_s)


def count_offered(level: int, work_s: float) -> DemandCounts:
    """Return the count of a request received, whether or not it is admitted."""
    work_ms = max(1, round(1000.0 * work_s))
    return DemandCounts(offered_ms=_at(level, work_ms))


def count_first(urgency: int) -> DemandCounts:
    """Return the count of a first attempt."""
    return DemandCounts(firsts=_at(_cap(urgency), 1))


def count_retry(urgency: int, *, is_sent: bool) -> DemandCounts:
    """Return the count of a retry that was asked for, and perhaps sent."""
    one = _at(_cap(urgency), 1)
    return DemandCounts(wanted=one, retries=one if is_sent else ())


def count_report(result: BackendResult) -> DemandCounts | None:
    """Return the count of the load that a server reported, None if it did not."""
    match result:
        case Answered(load=load) | ShedByServer(load=load, is_replaced=False) if (
            load is not None and not load.draining
        ):
            is_full = load.busy >= load.slots
            return DemandCounts(
                slots=load.slots,
                used_slots=min(load.busy, load.slots),
                waiting=max(0, load.busy - load.slots),
                full_sheds=int(is_full and isinstance(result, ShedByServer)),
            )
        case _:
            return None


def add_demand(
    log: DemandLog,
    service: ServiceName,
    counts: DemandCounts,
    *,
    window_s: float,
    now_s: float,
) -> DemandLog:
    """Return the log with more counts, without slices older than two windows."""
    number = floor(now_s / SLICE_S)
    oldest = floor((now_s - 2.0 * window_s) / SLICE_S)
    slices = log.by_service.get(service, ())
    if slices and slices[-1].number == number:
        last = slices[-1]
        slices = (
            *slices[:-1],
            evolve(last, counts=add_counts(last.counts, counts)),
        )
    else:
        kept = tuple(entry for entry in slices if entry.number >= oldest)
        slices = (*kept, DemandSlice(number=number, counts=counts))
    return DemandLog(by_service=log.by_service.set(service, slices))


def count_demand(
    log: DemandLog, *, window_s: float, now_s: float
) -> tuple[ServiceDemand, ...]:
    """Return the demand on each service that this host counted.

    A slice that lies partly in the window counts for retries but not for first
    attempts, so that the bound on retries holds.
    """
    found = (
        _sum_slices(service, slices, window_s=window_s, now_s=now_s)
        for service, slices in sorted(log.by_service.items())
    )
    return tuple(demand for demand in found if demand != _no_demand(demand.service))


def _sum_slices(
    service: ServiceName,
    slices: tuple[DemandSlice, ...],
    *,
    window_s: float,
    now_s: float,
) -> ServiceDemand:
    whole = floor((now_s - window_s) / SLICE_S) + 1
    before = floor((now_s - 2.0 * window_s) / SLICE_S) + 1
    recent = floor((now_s - RECENT_S) / SLICE_S) + 1
    total, earlier = NO_COUNTS, 0
    for entry in slices:
        counts, part = entry.counts, NO_COUNTS
        if entry.number >= recent:
            part = evolve(counts, firsts=(), retries=())
        if entry.number >= whole:
            part = evolve(part, firsts=counts.firsts)
        elif entry.number >= before:
            earlier += sum(counts.firsts)
        if entry.number >= whole - 1:
            part = evolve(part, retries=counts.retries)
        if part != NO_COUNTS:
            total = add_counts(total, part)
    return ServiceDemand(service=service, counts=total, earlier_firsts=earlier)


def sum_demand(
    demands: Iterable[tuple[ServiceDemand, ...]],
) -> tuple[ServiceDemand, ...]:
    """Return the sums by service over the demand that hosts or domains report."""
    totals: dict[ServiceName, ServiceDemand] = {}
    for reported in demands:
        for demand in reported:
            known = totals.get(demand.service)
            totals[demand.service] = demand if known is None else _add(known, demand)
    return tuple(demand for _, demand in sorted(totals.items()))


def subtract_demand(
    total: tuple[ServiceDemand, ...], own: tuple[ServiceDemand, ...]
) -> Map[ServiceName, ServiceDemand]:
    """Return the demand by service without a host's own part."""
    parts = {demand.service: demand for demand in own}
    return Map(
        {
            demand.service: _add(
                demand, parts.get(demand.service, _no_demand(demand.service)), sign=-1
            )
            for demand in total
        }
    )


def keep_retries(demands: tuple[ServiceDemand, ...]) -> tuple[ServiceDemand, ...]:
    """Return what counts of a silent host: the retries that it sent.

    Its first attempts may leave the window at any time, and so earn no more retries.
    """
    return tuple(
        ServiceDemand(
            service=demand.service, counts=DemandCounts(retries=demand.counts.retries)
        )
        for demand in demands
        if demand.counts.retries
    )


def add_counts(counts: DemandCounts, other: DemandCounts) -> DemandCounts:
    """Return the sums of two counts."""
    return _combine(counts, other, sign=1)


def _add(
    demand: ServiceDemand, other: ServiceDemand, *, sign: int = 1
) -> ServiceDemand:
    return ServiceDemand(
        service=demand.service,
        counts=_combine(demand.counts, other.counts, sign=sign),
        earlier_firsts=max(0, demand.earlier_firsts + sign * other.earlier_firsts),
    )


def _combine(counts: DemandCounts, other: DemandCounts, *, sign: int) -> DemandCounts:
    def each(mine: tuple[int, ...], others: tuple[int, ...]) -> tuple[int, ...]:
        pairs = zip_longest(mine, others, fillvalue=0)
        return tuple(max(0, one + sign * two) for one, two in pairs)

    return DemandCounts(
        offered_ms=each(counts.offered_ms, other.offered_ms),
        firsts=each(counts.firsts, other.firsts),
        wanted=each(counts.wanted, other.wanted),
        retries=each(counts.retries, other.retries),
        slots=max(0, counts.slots + sign * other.slots),
        used_slots=max(0, counts.used_slots + sign * other.used_slots),
        waiting=max(0, counts.waiting + sign * other.waiting),
        full_sheds=max(0, counts.full_sheds + sign * other.full_sheds),
    )


def _no_demand(service: ServiceName) -> ServiceDemand:
    return ServiceDemand(service=service)


def _cap(urgency: int) -> int:
    return min(max(0, urgency), URGENCIES - 1)


def _at(index: int, value: int) -> tuple[int, ...]:
    return (*(0,) * index, value)
