import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.routing.limits import (
    answer_s_of,
    has_free_slots,
    record_result,
    work_s_of,
)
from snipespring.records import (
    Answered,
    DemandCounts,
    ReportedLoad,
    ServiceLoad,
    ShedByServer,
)

SLOTS = 3


def make_report(busy: int, draining: bool = False) -> ReportedLoad:
    return ReportedLoad(busy=busy, slots=SLOTS, draining=draining)


def record(service: ServiceLoad, shed: bool, busy: int) -> ServiceLoad:
    if shed:
        result: Answered | ShedByServer = ShedByServer(
            retry_after_s=None, load=make_report(busy)
        )
    else:
        result = Answered(status=200, headers=(), body=b"", load=make_report(busy))
    return record_result(service, result, duration_s=0.02)


@given(steps=st.lists(st.tuples(st.booleans(), st.integers(0, SLOTS)), max_size=80))
def test_limit_never_falls_below_one_attempt(steps: list[tuple[bool, int]]) -> None:
    service = ServiceLoad(in_flight=0, busy=float(SLOTS))
    for shed, busy in steps:
        service = record(service, shed, busy)
        assert service.limit >= 1.0


def test_sheds_of_full_service_lower_limit_and_answers_raise_it() -> None:
    service = ServiceLoad(in_flight=9)
    for _ in range(40):
        service = record(service, False, SLOTS)
    lowered = record(service, True, SLOTS)
    assert lowered.limit < 10
    assert record(lowered, False, SLOTS).limit > lowered.limit


@given(busy=st.integers(0, 1))
def test_shed_of_one_server_among_idle_ones_keeps_limit(busy: int) -> None:
    service = ServiceLoad(in_flight=9)
    for _ in range(40):
        service = record(service, False, busy)
    assert record(service, True, SLOTS).limit == service.limit


def test_shed_of_draining_server_keeps_limit() -> None:
    service = ServiceLoad(in_flight=9, busy=float(SLOTS))
    shed = ShedByServer(retry_after_s=None, load=make_report(SLOTS, draining=True))
    assert record_result(service, shed, duration_s=0.0).limit == service.limit


@given(busy=st.integers(0, SLOTS - 1))
def test_shed_of_server_with_free_slots_keeps_limit_of_busy_service(busy: int) -> None:
    """Guard against a lower limit when servers refuse with a third of slots in use."""
    service = ServiceLoad(in_flight=9, busy=float(SLOTS))
    assert record(service, True, busy).limit == service.limit


def test_work_of_a_route_excludes_the_wait_at_a_full_server() -> None:
    """Guard against demand that seems to grow because the servers have queues."""
    service = ServiceLoad()
    for _ in range(60):
        for route, busy, duration_s in (("light", 3, 0.16), ("heavy", 12, 3.32)):
            answer = Answered(status=200, headers=(), body=b"", load=make_report(busy))
            service = record_result(service, answer, duration_s=duration_s, route=route)
    assert answer_s_of(service, "light") == pytest.approx(0.16)
    assert work_s_of(service, "heavy") == pytest.approx(0.83)
    assert answer_s_of(service, "unknown") == service.mean_service_s
    assert not has_free_slots(service, SLOTS)


def test_free_slots_seen_by_other_hosts_go_before_the_own_few_answers() -> None:
    """Guard against refusals by a host whose own answers came from full servers."""
    service = ServiceLoad(busy=float(SLOTS), has_reports=True)
    free = DemandCounts(slots=300, used_slots=200)
    assert has_free_slots(service, SLOTS, free)
    assert not has_free_slots(service, SLOTS, DemandCounts(slots=300, used_slots=290))
    assert not has_free_slots(service, SLOTS)
