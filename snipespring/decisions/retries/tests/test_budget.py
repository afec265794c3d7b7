from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.retries import (
    BudgetExhausted,
    earn_retry,
    max_balance_per_host,
    spend_retry,
)
from snipespring.records import RetryBudget


@given(
    hosts=st.integers(0, 2000),
    share=st.floats(0.0, 0.5),
    steps=st.lists(st.tuples(st.booleans(), st.floats(0.0, 50.0)), max_size=200),
)
def test_retries_stay_within_the_share_and_a_constant(
    hosts: int, share: float, steps: list[tuple[bool, float]]
) -> None:
    most = max_balance_per_host(hosts)
    budget, now_s, worst_window = RetryBudget(), 0.0, 0.0
    for is_first, wait_s in steps:
        now_s += wait_s
        if is_first:
            budget = earn_retry(budget, share, max_balance=most, now_s=now_s)
            worst_window = max(0.0, worst_window - share)
            continue
        match spend_retry(budget, now_s):
            case RetryBudget() as left:
                budget = left
                worst_window += 1.0
        assert worst_window <= most + 1e-6
    assert hosts * most <= max(132, hosts) + 1e-6


@given(share=st.floats(0.01, 0.5), gap_s=st.floats(0.0, 1000.0))
def test_a_retry_is_allowed_again_after_enough_first_attempts(
    share: float, gap_s: float
) -> None:
    budget = RetryBudget(allowed=0.0, at_s=0.0)
    needed = int(1.0 / share) + 2
    for number in range(needed):
        budget = earn_retry(budget, share, max_balance=1.0, now_s=number * gap_s)
    assert not isinstance(spend_retry(budget, needed * gap_s), BudgetExhausted)
