from snipespring.decisions.limits import MAX_LOAN_LIFETIME_S, Paid, slot_holders

from .fleet_model import (
    DRIFT_MARGIN_S,
    LEASE_S,
    VALETERS,
    AsksInTransit,
    FleetModel,
    HandoversInTransit,
    ModelHost,
    make_rule,
)

BURST = 40
RATE_PER_S = 10.0


def make_steady_fleet(rate_per_s: float = RATE_PER_S) -> FleetModel:
    """Return hosts that all hold their slots, with full levels."""
    fleet = FleetModel(rule=make_rule(rate_per_s, BURST))
    for name in "abc":
        fleet.change_roster(add=fleet.start_host(name, 1.0))
        advance_hosts(fleet)
    wait_for_fence(fleet)
    fleet.time.now_s += BURST
    advance_hosts(fleet)
    return fleet


def advance_hosts(fleet: FleetModel) -> None:
    for model in fleet.hosts:
        if not model.is_frozen:
            fleet.receive_roster(model)
            fleet.receive_fence(model)
            fleet.renew_lease(model)
    for model in [model for model in fleet.hosts if not model.is_frozen]:
        fleet.hand_over(model)
    deliver_handovers(fleet)


def deliver_handovers(fleet: FleetModel) -> None:
    for letter in [
        entry for entry in fleet.in_transit if isinstance(entry, HandoversInTransit)
    ]:
        fleet.in_transit.remove(letter)
        fleet.deliver(letter)
        fleet.deliver(letter)


def wait_for_fence(fleet: FleetModel) -> None:
    advance_hosts(fleet)
    fleet.time.now_s += LEASE_S + DRIFT_MARGIN_S + 0.1
    advance_hosts(fleet)


def count_slots(fleet: FleetModel, model: ModelHost) -> int:
    return slot_holders(fleet.roster, VALETERS).count(model.host)


def find_largest_holder(fleet: FleetModel) -> tuple[ModelHost, list[ModelHost]]:
    holder = max(fleet.hosts, key=lambda model: count_slots(fleet, model))
    return holder, [model for model in fleet.hosts if model is not holder]


def spend_all(fleet: FleetModel, model: ModelHost) -> int:
    before = len(fleet.admitted_at_s)
    fleet.request(model, 2 * BURST)
    model.share_manager.end_wait(VALETERS)
    fleet.check_admissions()
    return len(fleet.admitted_at_s) - before


def borrow_from(fleet: FleetModel, lender: ModelHost, borrower: ModelHost) -> None:
    """Spend the borrower's own credit, then ask one lender, delivering nothing."""
    spend_all(fleet, borrower)
    fleet.borrow(borrower)
    fleet.in_transit = [
        letter
        for letter in fleet.in_transit
        if isinstance(letter, AsksInTransit) and letter.outgoing.host == lender.host
    ]


def test_full_fleet_spends_its_burst_and_no_more() -> None:
    fleet = make_steady_fleet()
    assert sum(spend_all(fleet, model) for model in fleet.hosts) == BURST


def count_paid_after_grant(fleet: FleetModel, wait_s: float, is_delivered: bool) -> int:
    lender, others = find_largest_holder(fleet)
    borrow_from(fleet, lender, others[0])
    fleet.deliver(fleet.in_transit.pop())
    grant = fleet.in_transit.pop()
    fleet.time.now_s += wait_s
    if is_delivered:
        fleet.deliver(grant)
    return spend_all(fleet, others[0])


def test_grant_pays_only_until_its_end_counted_from_the_request() -> None:
    prompt = [
        count_paid_after_grant(make_steady_fleet(), 0.01, took)
        for took in (True, False)
    ]
    assert prompt[0] > prompt[1]
    late = [
        count_paid_after_grant(make_steady_fleet(), 1.01, took)
        for took in (True, False)
    ]
    assert late[0] == late[1]


def test_new_holder_waits_for_the_fence_and_starts_empty() -> None:
    fleet = make_steady_fleet()
    holder, others = find_largest_holder(fleet)
    fleet.change_roster(drop=holder.host.host_id)
    for model in others:
        fleet.receive_roster(model)
        fleet.receive_fence(model)
    for model in [*others, holder]:
        spend_all(fleet, model)
    fleet.hosts.remove(holder)
    wait_for_fence(fleet)
    assert sum(spend_all(fleet, model) for model in fleet.hosts) < BURST
    fleet.time.now_s += MAX_LOAN_LIFETIME_S + 2 * BURST
    advance_hosts(fleet)
    assert sum(spend_all(fleet, model) for model in fleet.hosts) == BURST


def test_restarted_host_starts_empty() -> None:
    fleet = make_steady_fleet()
    holder, _ = find_largest_holder(fleet)
    spend_all(fleet, holder)
    fleet.kill(holder)
    restarted = fleet.start_host(holder.host.host_id, 1.0)
    fleet.change_roster(add=restarted)
    advance_hosts(fleet)
    assert spend_all(fleet, restarted) == 0


def test_host_that_skipped_a_version_begins_anew() -> None:
    fleet = make_steady_fleet()
    holder, _ = find_largest_holder(fleet)
    fleet.change_roster(drop=holder.host.host_id)
    fleet.change_roster(add=holder)
    fleet.receive_roster(holder)
    assert spend_all(fleet, holder) == 0


def test_graceful_stop_passes_the_level_on_at_once() -> None:
    fleet = make_steady_fleet()
    holder, others = find_largest_holder(fleet)
    fleet.stop(holder)
    fleet.kill(holder)
    advance_hosts(fleet)
    assert sum(spend_all(fleet, model) for model in others) == BURST


def test_handover_keeps_room_for_what_is_lent() -> None:
    fleet = make_steady_fleet(rate_per_s=4000.0)
    lender, others = find_largest_holder(fleet)
    borrow_from(fleet, lender, others[0])
    fleet.time.now_s += 0.005
    while fleet.in_transit:
        fleet.deliver(fleet.in_transit.pop())
    fleet.stop(lender)
    fleet.kill(lender)
    advance_hosts(fleet)
    fleet.time.now_s += 0.012
    assert sum(spend_all(fleet, model) for model in others) == BURST


def test_lapsed_lease_pays_and_lends_nothing() -> None:
    fleet = make_steady_fleet()
    lender, others = find_largest_holder(fleet)
    fleet.time.now_s += LEASE_S + 0.1
    assert spend_all(fleet, lender) == 0
    fleet.renew_lease(others[0])
    borrow_from(fleet, lender, others[0])
    fleet.deliver(fleet.in_transit.pop())
    assert not fleet.in_transit


def test_pause_across_the_lease_pays_for_nothing() -> None:
    fleet = make_steady_fleet()
    holder, _ = find_largest_holder(fleet)
    holder.clock.pause_s = LEASE_S + 1.0
    assert not isinstance(holder.share_manager.pay(fleet.rule), Paid)


def test_payment_across_a_short_pause_is_made_anew() -> None:
    fleet = make_steady_fleet(rate_per_s=1000.0)
    holder, _ = find_largest_holder(fleet)
    holder.clock.pause_s = 0.3
    fleet.request(holder, 1)
    assert len(fleet.admitted_at_s) == 1
    assert 1 + sum(spend_all(fleet, model) for model in fleet.hosts) == BURST
