from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.suspicion import (
    BASELINE_RISK,
    FAILURE_WEIGHT,
    SUCCESS_WEIGHT,
    record_outcome,
    risk_of,
    select_riskiest,
)
from snipespring.records import Address, ServerId, ServerStates, ServiceName


def make_server(number: int) -> ServerId:
    address = Address(ip="10.0.0.1", port=number + 1)
    return ServerId(service=ServiceName("ledger"), address=address)


SERVER = make_server(0)


def after_outcomes(*weights: float) -> ServerStates:
    states = ServerStates()
    for weight in weights:
        states = record_outcome(states, SERVER, weight, now_s=100.0)
    return states


def test_failure_raises_risk_and_success_lowers_it() -> None:
    assert risk_of(after_outcomes(FAILURE_WEIGHT), SERVER, now_s=100.0) > 0.8
    assert risk_of(after_outcomes(SUCCESS_WEIGHT), SERVER, now_s=100.0) < BASELINE_RISK


def test_risk_decays_to_baseline() -> None:
    states = after_outcomes(FAILURE_WEIGHT, FAILURE_WEIGHT)
    risks = [risk_of(states, SERVER, now_s=100.0 + age_s) for age_s in range(0, 80, 4)]
    assert risks == sorted(risks, reverse=True)
    assert risks[-1] < BASELINE_RISK + 0.01


@given(
    outcomes=st.lists(
        st.tuples(st.booleans(), st.floats(min_value=0.0, max_value=30.0)), max_size=60
    )
)
def test_risk_stays_a_probability(outcomes: list[tuple[bool, float]]) -> None:
    states, now_s = ServerStates(), 0.0
    for is_failure, wait_s in outcomes:
        now_s += wait_s
        weight = FAILURE_WEIGHT if is_failure else SUCCESS_WEIGHT
        before = risk_of(states, SERVER, now_s=now_s)
        states = record_outcome(states, SERVER, weight, now_s=now_s)
        risk = risk_of(states, SERVER, now_s=now_s)
        assert 0.0 < risk < 1.0
        assert risk >= before if is_failure else risk <= before


def test_recent_good_answers_outweigh_first_failure() -> None:
    once = record_outcome(
        ServerStates(), SERVER, FAILURE_WEIGHT, now_s=100.0, answers=8
    )
    assert risk_of(once, SERVER, now_s=100.0) < 0.3
    twice = record_outcome(once, SERVER, FAILURE_WEIGHT, now_s=100.5, answers=8)
    assert risk_of(twice, SERVER, now_s=100.5) > 0.8


def test_few_good_answers_do_not_outweigh_failure() -> None:
    states = record_outcome(
        ServerStates(), SERVER, FAILURE_WEIGHT, now_s=100.0, answers=1
    )
    assert risk_of(states, SERVER, now_s=100.0) > 0.6


def test_riskiest_share_of_servers_is_selected() -> None:
    servers = [make_server(number) for number in range(10)]
    states = ServerStates()
    for number in (3, 7):
        states = record_outcome(states, servers[number], FAILURE_WEIGHT, now_s=1.0)
    named = select_riskiest(servers, states, share=0.2, now_s=1.0)
    assert set(named) == {servers[3], servers[7]}
