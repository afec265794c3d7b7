from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.limits import (
    MAX_CLOCK_DRIFT,
    MAX_LOAN_LIFETIME_S,
    SLOT_COUNT,
    LoanGranted,
    deduct_from_share,
    lend_from_share,
    lent_amount,
    refill_share,
    slot_holders,
    slot_limit,
)
from snipespring.decisions.limits.shares import (
    AHEAD_CREDIT_LIFETIME_S,
    LOAN_LIFETIME_FACTOR,
    URGENT_CREDIT_LIFETIME_S,
)
from snipespring.records import (
    CreditAsk,
    HostId,
    Incarnation,
    OrganisationName,
    OrganisationRule,
    Peer,
    Share,
    SlotLimit,
)

from .rosters import make_roster

VALETERS = OrganisationName("valeters")
PEERS = tuple(Peer(host_id=HostId(name), incarnation=Incarnation("1")) for name in "ab")
AMOUNTS = st.floats(0.0, 20.0)
STEPS = st.lists(
    st.tuples(st.floats(0.0, 3.0), st.integers(0, 1), AMOUNTS, AMOUNTS, AMOUNTS),
    max_size=30,
)
EPSILON = 1e-6


def make_ask(unspent: float, urgent: float, ahead: float) -> CreditAsk:
    return CreditAsk(
        organisation=VALETERS, slot=0, unspent=unspent, urgent=urgent, ahead=ahead
    )


@given(steps=STEPS, rate_per_s=st.floats(0.1, 50.0), capacity=st.floats(0.1, 20.0))
def test_level_and_loans_stay_within_the_capacity(
    steps: list[tuple[float, int, float, float, float]],
    rate_per_s: float,
    capacity: float,
) -> None:
    limit = SlotLimit(rate_per_s=rate_per_s, capacity=capacity)
    share = Share(since_version=1, begins_at_s=0.0, as_of_s=0.0)
    now_s = left = 0.0
    for number, (wait_s, index, unspent, urgent, ahead) in enumerate(steps):
        now_s += wait_s
        grown = refill_share(share, limit, now_s=now_s)
        ask = make_ask(unspent, urgent, ahead)
        lent = lend_from_share(
            grown, limit, PEERS[index], ask, sequence=number + 1, now_s=now_s
        )
        assert isinstance(lent, LoanGranted)
        share = lent.share
        left += rate_per_s * wait_s - lent.urgent - lent.ahead
        assert left >= -EPSILON * (number + 1)
        assert share.level >= 0.0
        assert share.level + lent_amount(share) <= capacity + EPSILON


@given(wait_s=st.floats(0.0, 10.0), parts=st.integers(1, 8), level=st.floats(0, 5))
def test_growth_does_not_depend_on_how_often_it_is_read(
    wait_s: float, parts: int, level: float
) -> None:
    limit = SlotLimit(rate_per_s=2.0, capacity=8.0)
    share = Share(since_version=1, begins_at_s=0.0, as_of_s=0.0, level=level)
    lent = lend_from_share(
        share, limit, PEERS[0], make_ask(0.0, 2.0, 2.0), sequence=1, now_s=0.0
    )
    assert isinstance(lent, LoanGranted)
    often = once = lent.share
    for part in range(1, parts + 1):
        often = refill_share(often, limit, now_s=wait_s * part / parts)
    once = refill_share(once, limit, now_s=wait_s)
    assert abs(often.level - once.level) < EPSILON


def test_every_loan_ends_within_the_time_that_a_new_holder_waits() -> None:
    limit = SlotLimit(rate_per_s=2.0, capacity=8.0)
    share = Share(since_version=1, begins_at_s=0.0, as_of_s=0.0, level=8.0)
    lent = lend_from_share(
        share, limit, PEERS[0], make_ask(0.0, 1.0, 9.0), sequence=1, now_s=5.0
    )
    assert isinstance(lent, LoanGranted)
    assert lent_amount(lent.share) > 1.0
    assert (
        lent_amount(refill_share(lent.share, limit, now_s=5.0 + MAX_LOAN_LIFETIME_S))
        == 0.0
    )


def test_credit_ends_on_the_slowest_clock_before_its_loan_on_the_fastest() -> None:
    for hold_s in (URGENT_CREDIT_LIFETIME_S, AHEAD_CREDIT_LIFETIME_S):
        loan_true_s = hold_s * LOAN_LIFETIME_FACTOR / (1 + MAX_CLOCK_DRIFT)
        assert hold_s / (1 - MAX_CLOCK_DRIFT) < loan_true_s


def test_repeated_request_borrows_once() -> None:
    limit = SlotLimit(rate_per_s=2.0, capacity=8.0)
    share = Share(since_version=1, begins_at_s=0.0, as_of_s=0.0, level=8.0)
    ask = make_ask(0.0, 1.0, 0.0)
    first = lend_from_share(share, limit, PEERS[0], ask, sequence=3, now_s=0.0)
    assert isinstance(first, LoanGranted)
    for sequence in (2, 3):
        again = lend_from_share(
            first.share, limit, PEERS[0], ask, sequence=sequence, now_s=0.0
        )
        assert not isinstance(again, LoanGranted)


def test_share_that_has_not_begun_stays_empty() -> None:
    limit = SlotLimit(rate_per_s=2.0, capacity=8.0)
    share = Share(since_version=1, begins_at_s=None, as_of_s=0.0)
    assert refill_share(share, limit, now_s=100.0).level == 0.0
    assert deduct_from_share(share, 1.0).level == 0.0


@given(rate_per_s=st.floats(0.1, 1000.0), burst=st.floats(1.0, 1000.0))
def test_slots_on_the_fastest_clocks_sum_to_no_more_than_the_rule(
    rate_per_s: float, burst: float
) -> None:
    rule = OrganisationRule(
        name=VALETERS, rate_per_s=rate_per_s, burst=burst, asked_by="Aoife"
    )
    limit = slot_limit(rule)
    assert limit.rate_per_s * (1 + MAX_CLOCK_DRIFT) * SLOT_COUNT <= rate_per_s + EPSILON
    assert limit.capacity * SLOT_COUNT <= burst + EPSILON


@given(name=st.text(min_size=1, max_size=8), count=st.integers(9, 44))
def test_host_that_joins_only_takes_slots(name: str, count: int) -> None:
    organisation = OrganisationName(name)
    before = slot_holders(make_roster(range(count)), organisation)
    after = slot_holders(make_roster(range(count + 1)), organisation)
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert all(host.host_id == f"host-{count}" for host in moved)
    assert len({host.domain for host in after}) >= 2
