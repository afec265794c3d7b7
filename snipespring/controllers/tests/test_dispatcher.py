import threading
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any

import pytest
from attrs import evolve
from immutables import Map

from snipespring.blackboard import Board, Region
from snipespring.blackboard.regions import (
    CONFIGURATION,
    CONFIGURATION_FEED,
    REQUEST_QUEUES,
    SERVER_LOADS,
    SERVER_SUBSETS,
)
from snipespring.controllers import dispatcher as dispatcher_module
from snipespring.controllers.dispatcher import Dispatcher, NotPlaced, Placed
from snipespring.decisions.queueing import count_queued
from snipespring.decisions.routing import choose_server, load_of
from snipespring.records import (
    Configuration,
    FeedView,
    ServerNotices,
    ServerSubset,
    ServerSubsets,
    ServiceName,
    ShedByServer,
)
from snipespring.utils import ManualClock

from .routing_fakes import (
    OK,
    SERVICE,
    add_service,
    make_board,
    make_server_id,
    make_slot_request,
)

TIMEOUT_S = 30.0
STOCK = ServiceName("stock")


def make_dispatcher(servers: int, cap: int = 1, max_queued: int = 64) -> Dispatcher:
    return Dispatcher(
        board=make_board(servers, cap),
        clock=ManualClock(),
        rng=Random(1),
        max_queued=max_queued,
    )


def wait_for_queued(dispatcher: Dispatcher, count: int) -> None:
    sub = dispatcher.board.subscribe((REQUEST_QUEUES,))
    while count_queued(dispatcher.board.read(REQUEST_QUEUES)) < count:
        assert sub.wait(TIMEOUT_S)


def test_queued_request_gets_the_slot_that_another_releases() -> None:
    dispatcher = make_dispatcher(1)
    first = dispatcher.place(make_slot_request(1e4))
    assert isinstance(first, Placed)
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(dispatcher.place, make_slot_request(1e4))
        wait_for_queued(dispatcher, 1)
        dispatcher.release(first.server, OK, started_s=1000.0)
        assert future.result(TIMEOUT_S) == Placed(server=make_server_id(0), tag=0.0)


def test_request_that_no_limited_server_takes_in_time_is_refused_with_the_wait() -> (
    None
):
    dispatcher = make_dispatcher(1)
    first = dispatcher.place(make_slot_request(1e4))
    assert isinstance(first, Placed)
    limited = evolve(OK, notices=ServerNotices(limit_per_s=0.1))
    dispatcher.release(first.server, limited, started_s=1000.0)
    limit = load_of(dispatcher.board.read(SERVER_LOADS), first.server).limit
    assert limit is not None
    wait_s = limit.next_at_s - 1000.0
    refused = dispatcher.place(make_slot_request(1000.0 + wait_s / 2.0))
    assert isinstance(refused, NotPlaced)
    assert refused.retry_after_s == pytest.approx(wait_s)


def test_queued_request_is_placed_when_the_server_backoff_ends() -> None:
    dispatcher = make_dispatcher(1)
    clock = dispatcher.clock
    assert isinstance(clock, ManualClock)
    first = dispatcher.place(make_slot_request(1e4))
    assert isinstance(first, Placed)
    shed = ShedByServer(retry_after_s=0.5)
    dispatcher.release(first.server, shed, started_s=1000.0)
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(dispatcher.place, make_slot_request(1e4))
        wait_for_queued(dispatcher, 1)
        delay_s = dispatcher.step()
        assert delay_s is not None
        assert abs(delay_s - 0.5) < 1e-6
        clock.advance(delay_s)
        assert dispatcher.step() is None
        assert isinstance(future.result(TIMEOUT_S), Placed)


def test_request_is_refused_at_once_when_every_server_backs_off_too_long() -> None:
    dispatcher = make_dispatcher(1)
    first = dispatcher.place(make_slot_request(1e4))
    assert isinstance(first, Placed)
    shed = ShedByServer(retry_after_s=5.0)
    dispatcher.release(first.server, shed, started_s=1000.0)
    refused = dispatcher.place(make_slot_request(1001.0))
    assert isinstance(refused, NotPlaced)
    assert refused.retry_after_s > 0


def test_request_leaves_the_queue_at_its_deadline() -> None:
    dispatcher = make_dispatcher(1)
    assert isinstance(dispatcher.place(make_slot_request(1e4)), Placed)
    assert isinstance(dispatcher.place(make_slot_request(1000.01)), NotPlaced)
    assert count_queued(dispatcher.board.read(REQUEST_QUEUES)) == 0


def test_full_queue_evicts_from_the_organisation_with_most_requests() -> None:
    dispatcher = make_dispatcher(1, max_queued=3)
    first = dispatcher.place(make_slot_request(1e4))
    assert isinstance(first, Placed)
    with ThreadPoolExecutor(4) as pool:
        large = []
        for count in (1, 2, 3):
            large.append(pool.submit(dispatcher.place, make_slot_request(1e4, "large")))
            wait_for_queued(dispatcher, count)
        small = pool.submit(dispatcher.place, make_slot_request(1e4, "small"))
        evicted = large[2].result(TIMEOUT_S)
        assert isinstance(evicted, NotPlaced)
        for future in (large[0], small, large[1]):
            dispatcher.release(make_server_id(0), OK, started_s=1000.0)
            assert isinstance(future.result(TIMEOUT_S), Placed)


def test_many_threads_never_exceed_the_cap_and_release_every_slot() -> None:
    dispatcher = make_dispatcher(2, cap=2)
    lock, running, highest = threading.Lock(), [0, 0], [0]

    def work() -> None:
        placed = dispatcher.place(make_slot_request(1e4))
        assert isinstance(placed, Placed)
        index = [make_server_id(0), make_server_id(1)].index(placed.server)
        with lock:
            running[index] += 1
            highest[0] = max(highest[0], running[index])
        with lock:
            running[index] -= 1
        dispatcher.release(placed.server, OK, started_s=1000.0)

    with ThreadPoolExecutor(16) as pool:
        for future in [pool.submit(work) for _ in range(300)]:
            future.result(TIMEOUT_S)
    assert highest[0] <= 2
    loads = dispatcher.board.read(SERVER_LOADS)
    assert all(load_of(loads, make_server_id(n)).in_flight == 0 for n in range(2))


def test_threads_of_one_service_hold_up_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a lock of all services: requests of a sound service waited for 2 s
    # while many of a silent one ended.
    dispatcher = make_dispatcher(1)
    add_service(dispatcher.board, STOCK)
    is_choosing, may_choose = threading.Event(), threading.Event()

    def choose_late(subset: ServerSubset, *args: Any, **kwargs: Any) -> Any:
        if subset.service == STOCK:
            is_choosing.set()
            may_choose.wait(TIMEOUT_S)
        return choose_server(subset, *args, **kwargs)

    monkeypatch.setattr(dispatcher_module, "choose_server", choose_late)
    with ThreadPoolExecutor(2) as pool:
        stock = pool.submit(dispatcher.place, make_slot_request(1e4, service=STOCK))
        assert is_choosing.wait(TIMEOUT_S)
        ledger = pool.submit(dispatcher.place, make_slot_request(1e4))
        try:
            placed = ledger.result(2.0)
        finally:
            may_choose.set()
        assert isinstance(placed, Placed)
        assert isinstance(stock.result(TIMEOUT_S), Placed)


def test_slot_of_a_request_that_leaves_the_queue_meanwhile_stays_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a slot that nobody releases, since the request for which it was
    # reserved has reached its deadline.
    dispatcher = make_dispatcher(1)
    first = dispatcher.place(make_slot_request(1e4))
    assert isinstance(first, Placed)
    with ThreadPoolExecutor(1) as pool:
        queued = pool.submit(dispatcher.place, make_slot_request(1000.3))
        wait_for_queued(dispatcher, 1)

        def choose_after_the_deadline(*args: Any, **kwargs: Any) -> Any:
            choice = choose_server(*args, **kwargs)
            assert isinstance(queued.result(TIMEOUT_S), NotPlaced)
            return choice

        monkeypatch.setattr(
            dispatcher_module, "choose_server", choose_after_the_deadline
        )
        dispatcher.release(first.server, OK, started_s=1000.0)
    assert load_of(dispatcher.board.read(SERVER_LOADS), first.server).in_flight == 0


def test_threads_of_two_services_resolve_every_request_and_release_every_slot() -> None:
    # Guards against a queued request that two threads resolve, or none.
    dispatcher = make_dispatcher(2, max_queued=3)
    add_service(dispatcher.board, STOCK)

    def work(number: int) -> None:
        service = (SERVICE.name, STOCK)[number % 2]
        request = make_slot_request(1e4, f"{service} {number % 3}", service)
        placed = dispatcher.place(evolve(request, priority=number % 5))
        if isinstance(placed, Placed):
            assert placed.server.service == service
            dispatcher.release(placed.server, OK, started_s=1000.0)

    with ThreadPoolExecutor(16) as pool:
        for future in [pool.submit(work, number) for number in range(600)]:
            future.result(TIMEOUT_S)
    loads = dispatcher.board.read(SERVER_LOADS)
    assert all(load.in_flight == 0 for load in loads.by_server.values())
    assert count_queued(dispatcher.board.read(REQUEST_QUEUES)) == 0


def test_request_waits_until_servers_of_a_new_service_are_selected() -> None:
    selected = make_board(1).read(SERVER_SUBSETS)
    dispatcher = make_dispatcher(1)
    board = dispatcher.board
    board.write(SERVER_SUBSETS, ServerSubsets(), writer="subset_keeper")
    services = Map({SERVICE.name: SERVICE})
    cfg = Configuration(version=1, services=services)
    board.write(CONFIGURATION, cfg, writer="configurator")
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(dispatcher.place, make_slot_request(1e4))
        wait_for_queued(dispatcher, 1)
        board.write(SERVER_SUBSETS, selected, writer="subset_keeper")
        dispatcher.step()
        assert future.result(TIMEOUT_S) == Placed(server=make_server_id(0), tag=0.0)


def test_request_for_an_unknown_service_is_refused_at_once() -> None:
    dispatcher = make_dispatcher(1)
    board = dispatcher.board
    board.write(SERVER_SUBSETS, ServerSubsets(), writer="subset_keeper")
    assert isinstance(dispatcher.place(make_slot_request(1e4)), NotPlaced)


def test_queued_request_is_refused_once_the_server_is_too_slow_for_it() -> None:
    dispatcher = make_dispatcher(1)
    clock = dispatcher.clock
    assert isinstance(clock, ManualClock)
    started_s = clock.monotonic_s()
    first = dispatcher.place(make_slot_request(1e4))
    assert isinstance(first, Placed)
    with ThreadPoolExecutor(3) as pool:
        futures = [
            pool.submit(dispatcher.place, make_slot_request(started_s + 6.0))
            for _ in range(3)
        ]
        wait_for_queued(dispatcher, 3)
        clock.advance(4.0)
        dispatcher.release(first.server, OK, started_s=started_s)
        results = [future.result(TIMEOUT_S) for future in futures]
    refused = [result for result in results if isinstance(result, NotPlaced)]
    assert len(refused) == 2
    assert all("exceeds the deadline" in result.reason for result in refused)
    assert all(result.retry_after_s > 0.0 for result in refused)


def test_cold_server_of_a_subset_that_arrives_meanwhile_gets_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a cold server that gets requests without a turn, because the
    # subsets changed between the begin of the warm-ups and the choice.
    dispatcher = make_dispatcher(1)
    board, read = dispatcher.board, Board.read
    cfg, known = board.read(CONFIGURATION), board.read(SERVER_SUBSETS)
    service = evolve(SERVICE, cold_per_s=1.0)
    cfg = evolve(cfg, services=Map({SERVICE.name: service}))
    board.write(CONFIGURATION, cfg, writer=CONFIGURATION.writer)
    subset = known.by_service[SERVICE.name]
    cold = tuple(
        evolve(member, rule=evolve(member.rule, warm_at_s=1e4))
        for member in subset.members
    )
    later = [
        ServerSubsets(by_service=Map({SERVICE.name: evolve(subset, members=cold)}))
    ]
    empty = ServerSubsets(by_service=Map({SERVICE.name: evolve(subset, members=())}))
    board.write(SERVER_SUBSETS, empty, writer=SERVER_SUBSETS.writer)

    def read_before_a_change(self: Board, region: Region[Any]) -> Any:
        record = read(self, region)
        if region == SERVER_SUBSETS and later:
            board.write(SERVER_SUBSETS, later.pop(), writer=SERVER_SUBSETS.writer)
        return record

    monkeypatch.setattr(Board, "read", read_before_a_change)
    for _ in range(2):
        assert isinstance(dispatcher.place_at_once(make_slot_request(1e4)), NotPlaced)
    assert not later


def test_request_during_a_start_waits_for_the_first_listing_of_servers() -> None:
    # Guards against refusing requests between the confirmation of the configuration and
    # that of the servers, as if no server could be used.
    dispatcher = make_dispatcher(0)
    board = dispatcher.board
    cfg = Configuration(version=1, services=Map({SERVICE.name: SERVICE}))
    board.write(CONFIGURATION, cfg, writer="configurator")
    feed = FeedView[Configuration](revision=1)
    board.write(CONFIGURATION_FEED, feed, writer=CONFIGURATION_FEED.writer)
    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(dispatcher.place, make_slot_request(1e4))
        wait_for_queued(dispatcher, 1)
        subsets = make_board(1).read(SERVER_SUBSETS)
        board.write(SERVER_SUBSETS, subsets, writer="subset_keeper")
        dispatcher.step()
        assert isinstance(fut.result(TIMEOUT_S), Placed)
