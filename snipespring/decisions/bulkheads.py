"""Decide how many requests of one service a host handles at the same time."""

from attrs import evolve, frozen

from ..records import ServiceConcurrency, ServiceName

__all__ = ["HasRoom", "NoRoom", "begin_request", "check_room", "end_request"]

# A service may hold this many times the threads that are free: two in three by itself,
# and so fewer, the more services hold many.
FREE_THREADS_FACTOR = 2


@frozen(kw_only=True)
class HasRoom:
    """Begin the request."""


@frozen(kw_only=True)
class NoRoom:
    """Refuse the request at once, so that other services keep threads."""

    reason: str


def check_room(
    concurrency: ServiceConcurrency, service: ServiceName, *, threads: int
) -> HasRoom | NoRoom:
    """Return whether a host with so many threads begins one more request."""
    held = concurrency.by_service.get(service, 0)
    free = threads - sum(concurrency.by_service.values())
    if held < FREE_THREADS_FACTOR * free:
        return HasRoom()
    return NoRoom(
        reason=f"service {service} holds {held} of {threads} threads, {free} are free"
    )


def begin_request(
    concurrency: ServiceConcurrency, service: ServiceName
) -> ServiceConcurrency:
    """Return the counts with one more request of the service."""
    count = concurrency.by_service.get(service, 0) + 1
    return evolve(concurrency, by_service=concurrency.by_service.set(service, count))


def end_request(
    concurrency: ServiceConcurrency, service: ServiceName
) -> ServiceConcurrency:
    """Return the counts with one request of the service less."""
    count = concurrency.by_service[service] - 1
    if count:
        by_service = concurrency.by_service.set(service, count)
    else:
        by_service = concurrency.by_service.delete(service)
    return evolve(concurrency, by_service=by_service)
