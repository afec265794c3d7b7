from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.bulkheads import (
    HasRoom,
    NoRoom,
    begin_request,
    check_room,
    end_request,
)
from snipespring.records import ServiceConcurrency, ServiceName

SERVICES = [ServiceName(f"s{number}") for number in range(5)]


def fill(names: list[ServiceName], threads: int) -> ServiceConcurrency:
    """Return the counts once none of the services gets any further."""
    concurrency = ServiceConcurrency()
    while True:
        before = concurrency
        for name in names:
            match check_room(concurrency, name, threads=threads):
                case HasRoom():
                    concurrency = begin_request(concurrency, name)
                case NoRoom():
                    pass
        if concurrency == before:
            return concurrency


@given(count=st.integers(1, 4), threads=st.integers(12, 256))
def test_services_that_hold_all_they_can_leave_threads_to_another(
    count: int, threads: int
) -> None:
    concurrency = fill(SERVICES[:count], threads)
    free = threads - sum(concurrency.by_service.values())
    assert free >= threads // (1 + 2 * count) - count
    assert check_room(concurrency, SERVICES[4], threads=threads) == HasRoom()


@given(steps=st.lists(st.tuples(st.sampled_from(SERVICES), st.booleans()), max_size=80))
def test_counts_are_those_of_the_requests_in_progress(
    steps: list[tuple[ServiceName, bool]],
) -> None:
    concurrency, running = ServiceConcurrency(), dict.fromkeys(SERVICES, 0)
    for name, begins in steps:
        if begins and check_room(concurrency, name, threads=20) == HasRoom():
            concurrency = begin_request(concurrency, name)
            running[name] += 1
        elif not begins and running[name]:
            concurrency = end_request(concurrency, name)
            running[name] -= 1
        assert dict(concurrency.by_service) == {
            name: count for name, count in running.items() if count
        }
        assert sum(running.values()) <= 20


def test_a_host_with_one_thread_serves() -> None:
    empty = ServiceConcurrency()
    assert check_room(empty, SERVICES[0], threads=1) == HasRoom()
    busy = begin_request(empty, SERVICES[0])
    assert isinstance(check_room(busy, SERVICES[0], threads=1), NoRoom)
