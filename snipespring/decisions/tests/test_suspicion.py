from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.suspicion import (
    FAILURE,
    SUCCESS,
    USUAL_RISK,
    note_outcome,
    risk_of,
    riskiest,
)
from snipespring.records import Address, ServerId, ServerStates, ServiceName


def server(number: int) -> ServerId:
    address = Address(ip="10.0.0.1", port=number + 1)
    return ServerId(service=ServiceName("ledger"), address=address)


FIRST = server(0)


def after(*weights: float) -> ServerStates:
    states = ServerStates()
    for weight in weights:
        states = note_outcome(states, FIRST, weight, now_s=100.0)
    return states


def test_one_failure_makes_a_server_suspect_and_a_success_trusted() -> None:
    assert risk_of(after(FAILURE), FIRST, now_s=100.0) > 0.8
    assert risk_of(after(SUCCESS), FIRST, now_s=100.0) < USUAL_RISK


def test_suspicion_goes_back_to_the_usual_risk() -> None:
    states = after(FAILURE, FAILURE)
    risks = [risk_of(states, FIRST, now_s=100.0 + age_s) for age_s in range(0, 80, 4)]
    assert risks == sorted(risks, reverse=True)
    assert risks[-1] < USUAL_RISK + 0.01


@given(
    outcomes=st.lists(
        st.tuples(st.booleans(), st.floats(min_value=0.0, max_value=30.0)), max_size=60
    )
)
def test_risk_stays_a_probability(outcomes: list[tuple[bool, float]]) -> None:
    states, now_s = ServerStates(), 0.0
    for is_failure, wait_s in outcomes:
        now_s += wait_s
        weight = FAILURE if is_failure else SUCCESS
        before = risk_of(states, FIRST, now_s=now_s)
        states = note_outcome(states, FIRST, weight, now_s=now_s)
        risk = risk_of(states, FIRST, now_s=now_s)
        assert 0.0 < risk < 1.0
        assert risk >= before if is_failure else risk <= before


def test_good_answers_of_all_hosts_weigh_against_a_first_failure() -> None:
    once = note_outcome(ServerStates(), FIRST, FAILURE, now_s=100.0, answers=8)
    assert risk_of(once, FIRST, now_s=100.0) < 0.3
    twice = note_outcome(once, FIRST, FAILURE, now_s=100.5, answers=8)
    assert risk_of(twice, FIRST, now_s=100.5) > 0.8


def test_few_good_answers_leave_a_failure_its_weight() -> None:
    states = note_outcome(ServerStates(), FIRST, FAILURE, now_s=100.0, answers=1)
    assert risk_of(states, FIRST, now_s=100.0) > 0.6


def test_riskiest_names_a_share_of_the_servers() -> None:
    servers = [server(number) for number in range(10)]
    states = ServerStates()
    for number in (3, 7):
        states = note_outcome(states, servers[number], FAILURE, now_s=1.0)
    named = riskiest(servers, states, share=0.2, now_s=1.0)
    assert set(named) == {servers[3], servers[7]}
