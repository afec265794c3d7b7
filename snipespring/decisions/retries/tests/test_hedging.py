from math import inf

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.retries import hedge_delay_s, overdue_delay_s
from snipespring.records import (
    OpenAccess,
    RouteRule,
    RunAsUpload,
    RunIdempotent,
    RunOnce,
    ServiceLoad,
    ServiceName,
)

SLOTS = 4
ROUTE = RouteRule(
    methods=("*",),
    prefix="/",
    service=ServiceName("ledger"),
    access=OpenAccess(),
    run=RunIdempotent(),
    objective_s=1.2,
    asked_by="a test",
)
times_s = st.floats(0.0, 10.0)


@given(mean_s=times_s, busy=st.floats(0.0, 20.0), remaining_s=times_s)
def test_second_attempt_starts_only_with_time_for_an_answer(
    mean_s: float, busy: float, remaining_s: float
) -> None:
    # Guards against second attempts that add load and cannot help their caller.
    load = ServiceLoad(mean_service_s=mean_s, busy=busy)
    delay_s = hedge_delay_s(ROUTE, load, slots=SLOTS, remaining_s=remaining_s)
    assert delay_s == inf or delay_s + mean_s < remaining_s
    assert delay_s in (inf, overdue_delay_s(ROUTE, load, slots=SLOTS))


def test_second_attempts_need_an_idempotent_request_and_an_objective() -> None:
    # Guards against running a request twice that may run once, and against changes for
    # deployments whose routes state no objective.
    load = ServiceLoad(mean_service_s=0.2)
    for run in (RunOnce(), RunAsUpload()):
        route = evolve(ROUTE, run=run)
        assert hedge_delay_s(route, load, slots=SLOTS, remaining_s=9.0) == inf
        assert overdue_delay_s(route, load, slots=SLOTS) == 0.5
    route = evolve(ROUTE, objective_s=inf)
    assert hedge_delay_s(route, load, slots=SLOTS, remaining_s=9.0) == inf


def test_a_full_service_gets_no_second_attempts() -> None:
    # Guards against more load on a service whose answers are late because it is full.
    load = ServiceLoad(mean_service_s=0.2, busy=0.8 * SLOTS)
    assert hedge_delay_s(ROUTE, load, slots=SLOTS, remaining_s=9.0) == inf
