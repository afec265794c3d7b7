from collections import Counter
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from .fleet_model import (
    FleetModel,
    ModelHost,
    make_rule,
)

NAMES = ("a", "b", "c", "d")
DRIFTS = (0.9991, 1.0, 1.0009)
INDEX = st.integers(0, 15)


def build_fleet(rate_per_s: float, burst: float, is_new: bool) -> FleetModel:
    fleet = FleetModel(rule=make_rule(rate_per_s, burst))
    models = [
        fleet.start_host(name, DRIFTS[index % 3]) for index, name in enumerate(NAMES)
    ]
    for model in models:
        fleet.change_roster(add=model)
        if is_new:
            continue
        for known in models:
            fleet.receive_roster(known)
    for model in models:
        fleet.receive_roster(model)
        fleet.renew_lease(model)
    return fleet


class LimitFleet(RuleBasedStateMachine):
    @initialize(
        rate_per_s=st.sampled_from((2.0, 10.0, 100.0)),
        burst=st.sampled_from((1.0, 3.0, 8.0, 40.0)),
        young=st.booleans(),
    )
    def begin(self, rate_per_s: float, burst: float, young: bool) -> None:
        self.fleet = build_fleet(rate_per_s, burst, young)

    def pick(self, index: int) -> ModelHost | None:
        running = [model for model in self.fleet.hosts if not model.is_frozen]
        return running[index % len(running)] if running else None

    @rule(step_s=st.sampled_from((0.001, 0.02, 0.1, 0.5, 1.1, 3.0, 5.6)))
    def advance(self, step_s: float) -> None:
        self.fleet.time.now_s += step_s

    @rule(index=INDEX, times=st.integers(1, 60))
    def request(self, index: int, times: int) -> None:
        if model := self.pick(index):
            self.fleet.request(model, times)

    @rule(index=INDEX, pause_s=st.sampled_from((0.2, 1.5, 6.0)))
    def request_across_pause(self, index: int, pause_s: float) -> None:
        if model := self.pick(index):
            model.clock.pause_s = pause_s
            self.fleet.request(model, 5)
            model.clock.pause_s = 0.0

    @rule(index=INDEX)
    def serve_waiting(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.serve_waiting(model)

    @rule(index=INDEX)
    def borrow(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.borrow(model)

    @rule(index=INDEX)
    def time_out(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.time_out_asks(model)

    @precondition(lambda self: self.fleet.letters)
    @rule(index=INDEX, repeat=st.booleans())
    def deliver(self, index: int, repeat: bool) -> None:
        letters = self.fleet.in_transit
        letter = letters[index % len(letters)]
        if not repeat:
            letters.remove(letter)
        self.fleet.deliver(letter)

    @rule()
    def deliver_all(self) -> None:
        while self.fleet.in_transit:
            self.fleet.deliver(self.fleet.in_transit.pop(0))

    @precondition(lambda self: self.fleet.letters)
    @rule(index=INDEX)
    def lose(self, index: int) -> None:
        letters = self.fleet.in_transit
        letters.pop(index % len(letters))

    @rule(index=INDEX)
    def learn_roster(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.receive_roster(model)

    @rule(index=INDEX)
    def renew_lease(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.renew_lease(model)

    @rule(index=INDEX)
    def handle_fence(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.receive_fence(model)

    @rule()
    def advance_hosts(self) -> None:
        for model in self.fleet.hosts:
            if not model.is_frozen:
                self.fleet.receive_roster(model)
                self.fleet.receive_fence(model)
                self.fleet.renew_lease(model)
                self.fleet.hand_over(model)

    @rule(index=INDEX)
    def hand_over(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.hand_over(model)

    @rule(index=INDEX)
    def freeze(self, index: int) -> None:
        if model := self.pick(index):
            model.is_frozen = True

    @rule()
    def thaw(self) -> None:
        for model in self.fleet.hosts:
            model.is_frozen = False

    @rule(index=INDEX)
    def remove_from_roster(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.change_roster(drop=model.host.host_id)

    @rule(index=INDEX)
    def join_roster(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.change_roster(add=model)

    @rule(index=INDEX, drift=st.sampled_from(DRIFTS), is_graceful=st.booleans())
    def restart(self, index: int, drift: float, is_graceful: bool) -> None:
        model = self.pick(index)
        if model is None:
            return
        if is_graceful:
            self.fleet.stop(model)
        self.fleet.kill(model)
        self.fleet.change_roster(add=self.fleet.start_host(model.host.host_id, drift))

    @rule(rate_per_s=st.sampled_from((2.0, 10.0, 50.0)), burst=st.sampled_from((2, 9)))
    def change_rule(self, rate_per_s: float, burst: float) -> None:
        self.fleet.change_rule(make_rule(rate_per_s, burst))

    @rule(index=INDEX)
    def apply_rule(self, index: int) -> None:
        if model := self.pick(index):
            self.fleet.apply_rule(model)

    @invariant()
    def admits_no_more_than_the_limit(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.check_admissions()


TestLimitFleet = LimitFleet.TestCase
TestLimitFleet.settings = settings(max_examples=60, stateful_step_count=60)


def run_bursty_fleet(seed: int, steps: int) -> FleetModel:
    """Act at random, with bursts on all hosts after times that fill the levels."""
    rng = Random(seed)
    fleet = build_fleet(rng.choice((5.0, 40.0)), rng.choice((2.0, 8.0, 30.0)), False)
    speed = rng.choice((0.1, 0.5, 0.9))
    for _ in range(steps):
        fleet.time.now_s += rng.choice((0.002, 0.01, 0.05, 0.3))
        is_burst = rng.random() < 0.2
        for model in [model for model in fleet.hosts if not model.is_frozen]:
            act_at_random(fleet, model, rng, is_burst)
        change_at_random(fleet, rng)
        for letter in [letter for letter in fleet.in_transit if rng.random() < speed]:
            if rng.random() < 0.9:
                fleet.in_transit.remove(letter)
            if rng.random() < 0.9:
                fleet.deliver(letter)
        fleet.check_admissions()
    return fleet


def act_at_random(
    fleet: FleetModel, model: ModelHost, rng: Random, is_burst: bool
) -> None:
    if rng.random() < 0.01:
        model.clock.pause_s = rng.choice((0.3, 6.0))
    fleet.serve_waiting(model)
    fleet.request(model, 40 if is_burst else rng.random() < 0.3)
    fleet.borrow(model)
    if rng.random() < 0.1:
        fleet.time_out_asks(model)
    if rng.random() < 0.2:
        fleet.receive_roster(model)
    if rng.random() < 0.5:
        fleet.receive_fence(model)
        fleet.renew_lease(model)
    if rng.random() < 0.2:
        fleet.hand_over(model)


def change_at_random(fleet: FleetModel, rng: Random) -> None:
    model = rng.choice(fleet.hosts)
    draw = rng.random()
    if model.is_frozen:
        model.is_frozen = draw > 0.1
    elif draw < 0.01:
        model.is_frozen = True
    elif draw < 0.015:
        fleet.change_roster(drop=model.host.host_id)
    elif draw < 0.025:
        if rng.random() < 0.5:
            fleet.stop(model)
        fleet.kill(model)
        new = fleet.start_host(model.host.host_id, rng.choice(DRIFTS))
        fleet.change_roster(add=new)
    elif draw < 0.2 and model.host.host_id not in fleet.roster.hosts:
        fleet.change_roster(add=model)


@pytest.mark.parametrize("seed", range(16))
def test_bursty_fleet_admits_no_more_than_the_limit(seed: int) -> None:
    run_bursty_fleet(seed, 400)


def test_bursty_fleets_pay_from_loans_and_hand_over() -> None:
    fleets = [run_bursty_fleet(seed, 300) for seed in range(100, 104)]
    counts = sum((fleet.counts for fleet in fleets), start=Counter[str]())
    assert counts["paid after a wait"] > 0
    assert counts["handovers taken"] > 0
    assert sum(len(fleet.admitted_at_s) for fleet in fleets) > 100
