from collections.abc import Iterator

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.routing import (
    Chosen,
    NoServer,
    ServersBusy,
    load_of,
    release_server,
    remove_unused_servers,
    reserve_server,
)
from snipespring.records import (
    AnswerBroken,
    Answered,
    BackendResult,
    ServerLoads,
    ServerNotices,
    ShedByServer,
)

from .test_choice import MEMBERS, SERVERS, choose, make_subset

SINGLE = make_subset(MEMBERS[:1], 3)
OK = Answered(status=200, headers=(), body=b"")


def end_attempt(
    loads: ServerLoads, result: BackendResult, *, started_s: float, now_s: float
) -> ServerLoads:
    return release_server(loads, SERVERS[0], result, started_s=started_s, now_s=now_s)


def answer(loads: ServerLoads, result: BackendResult, now_s: float) -> ServerLoads:
    loads = reserve_server(loads, SERVERS[0])
    return end_attempt(loads, result, started_s=now_s, now_s=now_s)


def test_leaving_server_gets_no_request_ever_after() -> None:
    leaving = evolve(OK, notices=ServerNotices(is_leaving=True))
    loads = answer(answer(ServerLoads(), leaving, 100.0), OK, 101.0)
    for now_s in (101.0, 106.0, 200.0, 1e6):
        assert isinstance(choose(loads, now_s=now_s, subset=SINGLE), NoServer)


def test_leaving_server_that_is_listed_again_gets_no_request() -> None:
    leaving = evolve(OK, notices=ServerNotices(is_leaving=True))
    loads = answer(ServerLoads(), leaving, 100.0)
    loads = remove_unused_servers(loads, set(), now_s=130.0)
    assert isinstance(choose(loads, now_s=131.0, subset=SINGLE), NoServer)


def test_notices_of_a_server_that_is_gone_for_long_are_dropped() -> None:
    leaving = evolve(OK, notices=ServerNotices(is_leaving=True))
    loads = answer(ServerLoads(), leaving, 100.0)
    loads = remove_unused_servers(loads, set(), now_s=3700.0)
    assert SERVERS[0] not in loads.by_server


def test_new_server_at_the_address_of_a_leaving_one_is_used() -> None:
    leaving = evolve(OK, notices=ServerNotices(is_leaving=True))
    loads = answer(ServerLoads(), leaving, 100.0)
    rule = evolve(MEMBERS[0].rule, server=evolve(SERVERS[0], instance="i-2"))
    subset = make_subset((evolve(MEMBERS[0], rule=rule),), 3)
    assert choose(loads, now_s=101.0, subset=subset) == Chosen(server=rule.server)


def test_pause_holds_after_a_later_good_answer() -> None:
    shed = ShedByServer(retry_after_s=7.0, notices=ServerNotices(pause_s=7.0))
    loads = reserve_server(reserve_server(ServerLoads(), SERVERS[0]), SERVERS[0])
    loads = end_attempt(loads, shed, started_s=99.0, now_s=100.0)
    loads = end_attempt(loads, OK, started_s=99.0, now_s=101.0)
    assert choose(loads, now_s=101.0, subset=SINGLE) == ServersBusy(
        free_at_s=107.0, waits_for_attempts=False
    )
    assert choose(loads, now_s=107.0, subset=SINGLE) == Chosen(server=SERVERS[0])


results = st.one_of(
    st.just(OK),
    st.floats(0.0, 50.0).map(
        lambda pause_s: ShedByServer(
            retry_after_s=pause_s, notices=ServerNotices(pause_s=pause_s)
        )
    ),
    st.floats(0.0, 50.0).map(
        lambda pause_s: AnswerBroken(
            reason="503 without proof", notices=ServerNotices(pause_s=pause_s)
        )
    ),
)


@given(
    steps=st.lists(st.tuples(st.floats(0.0, 3.0), results), max_size=40),
    answer_s=st.floats(0.0, 0.4),
)
def test_no_attempt_begins_within_a_pause(
    steps: list[tuple[float, BackendResult]], answer_s: float
) -> None:
    loads, now_s, paused_until_s = ServerLoads(), 100.0, 0.0
    for at_s, result in add_up(steps, now_s):
        if isinstance(choose(loads, now_s=at_s, subset=SINGLE), Chosen):
            assert at_s >= paused_until_s
            loads = reserve_server(loads, SERVERS[0])
            end_s = at_s + answer_s
            loads = end_attempt(loads, result, started_s=at_s, now_s=end_s)
            if not isinstance(result, Answered):
                assert isinstance(result, ShedByServer | AnswerBroken)
                assert result.notices is not None
                pause_s = result.notices.pause_s or 0.0
                paused_until_s = max(paused_until_s, end_s + pause_s)
    assert load_of(loads, SERVERS[0]).in_flight == 0


def add_up(
    steps: list[tuple[float, BackendResult]], now_s: float
) -> Iterator[tuple[float, BackendResult]]:
    for delay_s, result in steps:
        now_s += 0.4 + delay_s
        yield now_s, result
