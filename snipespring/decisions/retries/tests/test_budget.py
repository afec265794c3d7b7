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
def test_retries_exceed_the_share_by_at_most_the_balance(
    hosts: int, share: float, steps: list[tuple[bool, float]]
) -> None:
    max_balance = max_balance_per_host(hosts)
    budget, now_s, worst_window = RetryBudget(), 0.0, 0.0
    for is_first, wait_s in steps:
        now_s += wait_s
        if is_first:
            budget = earn_retry(budget, share, max_balance=max_balance, now_s=now_s)
            worst_window = max(0.0, worst_window - share)
            continue
        match spend_retry(budget, now_s):
            case RetryBudget() as remaining:
                budget = remaining
                worst_window += 1.0
        assert worst_window <= max_balance + 1e-6
    assert hosts * max_balance <= max(132, hosts) + 1e-6


@given(share=st.floats(0.01, 0.5), gap_s=st.floats(0.0, 1000.0))
def test_a_retry_is_allowed_again_after_enough_first_attempts(
    share: float, gap_s: float
) -> None:
    budget = RetryBudget(allowed=0.0, at_s=0.0)
    needed = int(1.0 / share) + 2
    for number in range(needed):
        budget = earn_retry(budget, share, max_balance=1.0, now_s=number * gap_s)
    assert not isinstance(spend_retry(budget, needed * gap_s), BudgetExhausted)
