from math import inf

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.retries import hedge_delay_s
from snipespring.records import (
    OpenAccess,
    RouteLoad,
    RouteRule,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    ServiceName,
)

ROUTE = RouteRule(
    methods=("*",),
    prefix="/",
    service=ServiceName("ledger"),
    access=OpenAccess(),
    run=RunIdempotent(),
    objective_s=1.2,
    asked_by="a test",
)
LOAD = RouteLoad(answer_s=0.2, work_s=0.2, deviation_s=0.02)
times_s = st.floats(0.0, 10.0)


@given(mean_s=times_s, deviation_s=times_s, remaining_s=times_s)
def test_second_attempt_starts_only_with_time_for_an_answer(
    mean_s: float, deviation_s: float, remaining_s: float
) -> None:
    # Guards against second attempts that add load and cannot help their caller.
    load = RouteLoad(answer_s=mean_s, work_s=mean_s, deviation_s=deviation_s)
    delay_s = hedge_delay_s(ROUTE, load, is_busy=False, remaining_s=remaining_s)
    assert delay_s == inf or delay_s + mean_s < remaining_s
    assert delay_s >= max(2.5 * mean_s, mean_s + 5.0 * deviation_s)


def test_second_attempts_need_an_idempotent_request_and_an_objective() -> None:
    # Guards against running a request twice that may run once, and against changes for
    # deployments whose routes state no objective.
    for run in (RunOnce(), RunAsUpload()):
        route = evolve(ROUTE, run=run)
        assert hedge_delay_s(route, LOAD, is_busy=False, remaining_s=9.0) == inf
    route = evolve(ROUTE, objective_s=inf)
    assert hedge_delay_s(route, LOAD, is_busy=False, remaining_s=9.0) == inf


def test_a_full_service_gets_no_second_attempts() -> None:
    # Guards against more load on a service whose answers are late because it is full.
    assert hedge_delay_s(ROUTE, LOAD, is_busy=True, remaining_s=9.0) == inf


def test_routes_whose_work_varies_are_overdue_later() -> None:
    # Guards against taking sound servers for silent ones: of work that varies much, one
    # answer in ten takes more than 2.5 times the mean.
    load = evolve(LOAD, deviation_s=0.16)
    delay_s = hedge_delay_s(ROUTE, load, is_busy=False, remaining_s=9.0)
    assert delay_s == 0.2 + 5.0 * 0.16
