from random import Random

import pytest

from snipespring.decisions.routing import (
    Chosen,
    ServersBusy,
    choose_server,
    load_of,
    release_server,
    reserve_server,
)
from snipespring.records import (
    Answered,
    Placement,
    ServerLoads,
    ServerNotices,
    ServerStates,
)

from .test_choice import MEMBERS, NEAR, SERVERS, choose, make_subset

SINGLE = make_subset(MEMBERS[:1], 3)


def answer(
    loads: ServerLoads, limit_per_s: float | None, *, now_s: float, hosts: int = 3
) -> ServerLoads:
    loads = reserve_server(loads, SERVERS[0], hosts=hosts, now_s=now_s)
    notices = ServerNotices(limit_per_s=limit_per_s)
    return release_server(
        loads,
        SERVERS[0],
        Answered(status=200, headers=(), body=b"", notices=notices),
        started_s=now_s,
        now_s=now_s,
        hosts=hosts,
        phase=0.5,
    )


def test_host_waits_for_its_part_of_the_limit() -> None:
    loads = answer(ServerLoads(), 2.0, now_s=100.0)
    assert choose(loads, now_s=100.9, subset=SINGLE) == ServersBusy(
        free_at_s=101.0, waits_for_attempts=False
    )
    assert choose(loads, now_s=101.0, subset=SINGLE) == Chosen(server=SERVERS[0])
    loads = reserve_server(loads, SERVERS[0], hosts=3, now_s=101.0)
    assert choose(loads, now_s=102.9, subset=SINGLE) == ServersBusy(
        free_at_s=103.0, waits_for_attempts=False
    )


def test_changed_limit_changes_the_wait_in_proportion() -> None:
    loads = answer(ServerLoads(), 2.0, now_s=100.0)
    loads = answer(loads, 4.0, now_s=101.0)
    assert load_of(loads, SERVERS[0]).limit is not None
    assert choose(loads, now_s=102.0, subset=SINGLE) == Chosen(server=SERVERS[0])


def test_answer_without_a_limit_ends_it() -> None:
    loads = answer(answer(ServerLoads(), 2.0, now_s=100.0), None, now_s=101.0)
    assert choose(loads, now_s=101.0, subset=SINGLE) == Chosen(server=SERVERS[0])


@pytest.mark.parametrize("limit_per_s", [0.0, 1e-9])
def test_server_that_accepts_nothing_is_asked_again(limit_per_s: float) -> None:
    loads = answer(ServerLoads(), limit_per_s, now_s=100.0)
    choice = choose_server(
        SINGLE,
        loads,
        ServerStates(),
        Placement(domain=NEAR),
        now_s=100.0,
        rng=Random(1),
    )
    assert choice == ServersBusy(free_at_s=120.0, waits_for_attempts=False)
