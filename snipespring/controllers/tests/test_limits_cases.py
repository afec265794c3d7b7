from snipespring.decisions.limits import MAX_LOAN_LIFETIME_S, Paid, slot_holders

from .fleet_model import (
    DRIFT_MARGIN_S,
    LEASE_S,
    VALETERS,
    Ask,
    FleetModel,
    Handover,
    ModelHost,
    make_rule,
)

BURST = 40
RATE_PER_S = 10.0


def steady_fleet(rate_per_s: float = RATE_PER_S) -> FleetModel:
    """Return hosts that all hold their slots, with full levels."""
    fleet = FleetModel(rule=make_rule(rate_per_s, BURST))
    for name in "abc":
        fleet.change_roster(add=fleet.start_host(name, 1.0))
        go_on(fleet)
    pass_fence(fleet)
    fleet.time.now_s += BURST
    go_on(fleet)
    return fleet


def go_on(fleet: FleetModel) -> None:
    for model in fleet.hosts:
        if not model.frozen:
            fleet.learn_roster(model)
            fleet.hear_fence(model)
            fleet.renew_lease(model)
    for model in [model for model in fleet.hosts if not model.frozen]:
        fleet.hand_over(model)
    deliver_handovers(fleet)


def deliver_handovers(fleet: FleetModel) -> None:
    for letter in [entry for entry in fleet.letters if isinstance(entry, Handover)]:
        fleet.letters.remove(letter)
        fleet.deliver(letter)
        fleet.deliver(letter)


def pass_fence(fleet: FleetModel) -> None:
    go_on(fleet)
    fleet.time.now_s += LEASE_S + DRIFT_MARGIN_S + 0.1
    go_on(fleet)


def slots_of(fleet: FleetModel, model: ModelHost) -> int:
    return slot_holders(fleet.roster, VALETERS).count(model.host)


def holder_with_peers(fleet: FleetModel) -> tuple[ModelHost, list[ModelHost]]:
    holder = max(fleet.hosts, key=lambda model: slots_of(fleet, model))
    return holder, [model for model in fleet.hosts if model is not holder]


def spend_all(fleet: FleetModel, model: ModelHost) -> int:
    before = len(fleet.admitted_at_s)
    fleet.request(model, 2 * BURST)
    model.book.end_wait(VALETERS)
    fleet.check_bound()
    return len(fleet.admitted_at_s) - before


def borrow_from(fleet: FleetModel, lender: ModelHost, borrower: ModelHost) -> None:
    """Spend the borrower's own credit, then ask one lender, delivering nothing."""
    spend_all(fleet, borrower)
    fleet.borrow(borrower)
    fleet.letters = [
        letter
        for letter in fleet.letters
        if isinstance(letter, Ask) and letter.outgoing.host == lender.host
    ]


def test_full_fleet_spends_its_burst_and_no_more() -> None:
    fleet = steady_fleet()
    assert sum(spend_all(fleet, model) for model in fleet.hosts) == BURST


def spent_after_grant(fleet: FleetModel, wait_s: float, is_delivered: bool) -> int:
    lender, others = holder_with_peers(fleet)
    borrow_from(fleet, lender, others[0])
    fleet.deliver(fleet.letters.pop())
    grant = fleet.letters.pop()
    fleet.time.now_s += wait_s
    if is_delivered:
        fleet.deliver(grant)
    return spend_all(fleet, others[0])


def test_grant_pays_only_until_its_end_counted_from_the_request() -> None:
    prompt = [spent_after_grant(steady_fleet(), 0.01, took) for took in (True, False)]
    assert prompt[0] > prompt[1]
    late = [spent_after_grant(steady_fleet(), 1.01, took) for took in (True, False)]
    assert late[0] == late[1]


def test_new_holder_waits_for_the_fence_and_starts_empty() -> None:
    fleet = steady_fleet()
    holder, others = holder_with_peers(fleet)
    fleet.change_roster(drop=holder.host.host_id)
    for model in others:
        fleet.learn_roster(model)
        fleet.hear_fence(model)
    for model in [*others, holder]:
        spend_all(fleet, model)
    fleet.hosts.remove(holder)
    pass_fence(fleet)
    assert sum(spend_all(fleet, model) for model in fleet.hosts) < BURST
    fleet.time.now_s += MAX_LOAN_LIFETIME_S + 2 * BURST
    go_on(fleet)
    assert sum(spend_all(fleet, model) for model in fleet.hosts) == BURST


def test_restarted_host_starts_empty() -> None:
    fleet = steady_fleet()
    holder, _ = holder_with_peers(fleet)
    spend_all(fleet, holder)
    fleet.kill(holder)
    restarted = fleet.start_host(holder.host.host_id, 1.0)
    fleet.change_roster(add=restarted)
    go_on(fleet)
    assert spend_all(fleet, restarted) == 0


def test_host_that_skipped_a_version_begins_anew() -> None:
    fleet = steady_fleet()
    holder, _ = holder_with_peers(fleet)
    fleet.change_roster(drop=holder.host.host_id)
    fleet.change_roster(add=holder)
    fleet.learn_roster(holder)
    assert spend_all(fleet, holder) == 0


def test_graceful_stop_passes_the_level_on_at_once() -> None:
    fleet = steady_fleet()
    holder, others = holder_with_peers(fleet)
    fleet.stop(holder)
    fleet.kill(holder)
    go_on(fleet)
    assert sum(spend_all(fleet, model) for model in others) == BURST


def test_handover_keeps_room_for_what_is_lent() -> None:
    fleet = steady_fleet(rate_per_s=4000.0)
    lender, others = holder_with_peers(fleet)
    borrow_from(fleet, lender, others[0])
    fleet.time.now_s += 0.005
    while fleet.letters:
        fleet.deliver(fleet.letters.pop())
    fleet.stop(lender)
    fleet.kill(lender)
    go_on(fleet)
    fleet.time.now_s += 0.012
    assert sum(spend_all(fleet, model) for model in others) == BURST


def test_lapsed_lease_pays_and_lends_nothing() -> None:
    fleet = steady_fleet()
    lender, others = holder_with_peers(fleet)
    fleet.time.now_s += LEASE_S + 0.1
    assert spend_all(fleet, lender) == 0
    fleet.renew_lease(others[0])
    borrow_from(fleet, lender, others[0])
    fleet.deliver(fleet.letters.pop())
    assert not fleet.letters


def test_pause_across_the_lease_pays_for_nothing() -> None:
    fleet = steady_fleet()
    holder, _ = holder_with_peers(fleet)
    holder.clock.pause_s = LEASE_S + 1.0
    assert not isinstance(holder.book.pay(fleet.rule), Paid)


def test_payment_across_a_short_pause_is_made_anew() -> None:
    fleet = steady_fleet(rate_per_s=1000.0)
    holder, _ = holder_with_peers(fleet)
    holder.clock.pause_s = 0.3
    fleet.request(holder, 1)
    assert len(fleet.admitted_at_s) == 1
    assert 1 + sum(spend_all(fleet, model) for model in fleet.hosts) == BURST
