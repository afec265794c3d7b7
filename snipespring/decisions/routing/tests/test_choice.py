from math import inf
from random import Random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from immutables import Map

from snipespring.decisions.routing import (
    Chosen,
    NoServer,
    ServersBusy,
    choose_server,
    load_of,
    release_server,
    reserve_server,
)
from snipespring.records import (
    Address,
    Answered,
    AnswerLate,
    AttemptCancelled,
    BackendResult,
    ConnectFailed,
    DomainName,
    Placement,
    ReportedLoad,
    ServerAvoided,
    ServerEjected,
    ServerId,
    ServerLoads,
    ServerOnTrial,
    ServerRule,
    ServerState,
    ServerStates,
    ServerSubset,
    ServerSuspected,
    ServiceName,
    ShedByServer,
    SubsetMember,
)

NEAR, FAR = DomainName("near"), DomainName("far")
REPEATABLE = Placement(domain=NEAR, repeatable=True)
NON_REPEATABLE = Placement(domain=NEAR, repeatable=False)


def make_member(number: int, domain: DomainName, since_s: float = 0.0) -> SubsetMember:
    address = Address(ip="127.0.0.2", port=number + 1)
    server = ServerId(service=ServiceName("ledger"), address=address)
    server_rule = ServerRule(server=server, domain=domain, asked_by="a test")
    return SubsetMember(rule=server_rule, since_s=since_s)


MEMBERS = tuple(make_member(number, NEAR if number < 2 else FAR) for number in range(4))
SERVERS = tuple(member.rule.server for member in MEMBERS)


def make_subset(members: tuple[SubsetMember, ...], cap: int) -> ServerSubset:
    return ServerSubset(
        service=ServiceName("ledger"), members=members, slots=3, in_flight_cap=cap
    )


SUBSET = make_subset(MEMBERS, 2)


def choose(
    loads: ServerLoads,
    states: dict[ServerId, ServerState] | None = None,
    placement: Placement = REPEATABLE,
    now_s: float = 100.0,
    seed: int = 1,
    subset: ServerSubset = SUBSET,
) -> Chosen | NoServer | ServersBusy:
    server_states = ServerStates(by_server=Map(states or {}))
    return choose_server(
        subset, loads, server_states, placement, now_s=now_s, rng=Random(seed)
    )


def make_answer(busy: int = 0, draining: bool = False) -> Answered:
    load = ReportedLoad(busy=busy, slots=3, draining=draining)
    return Answered(status=200, headers=(), body=b"", load=load)


def after_result(loads: ServerLoads, number: int, result: BackendResult) -> ServerLoads:
    loads = reserve_server(loads, SERVERS[number])
    return release_server(loads, SERVERS[number], result, started_s=99.0, now_s=100.0)


@given(seed=st.integers(0, 1000))
def test_near_servers_are_preferred_until_full(seed: int) -> None:
    loads = ServerLoads()
    chosen = [choose(loads, seed=seed)]
    assert chosen[0] in [Chosen(server=server) for server in SERVERS[:2]]
    for server in SERVERS[:2] * 2:
        loads = reserve_server(loads, server)
    assert choose(loads, seed=seed) in [Chosen(server=server) for server in SERVERS[2:]]


@given(seed=st.integers(0, 1000))
def test_reported_load_of_other_hosts_counts_while_fresh(seed: int) -> None:
    loads = after_result(ServerLoads(), 0, make_answer(busy=2))
    assert choose(loads, seed=seed, now_s=100.01) == Chosen(server=SERVERS[1])
    full = after_result(
        after_result(ServerLoads(), 0, make_answer(busy=3)), 1, make_answer(busy=3)
    )
    near_servers = [Chosen(server=server) for server in SERVERS[:2]]
    assert choose(full, seed=seed, now_s=100.01) not in near_servers
    assert choose(full, seed=seed, now_s=110.0) in near_servers


@given(seed=st.integers(0, 1000))
def test_server_with_recently_freed_slot_precedes_unknown_servers(seed: int) -> None:
    loads = after_result(ServerLoads(), 0, make_answer(busy=1))
    loads = after_result(
        after_result(loads, 2, make_answer(busy=3)), 3, make_answer(busy=3)
    )
    assert choose(loads, seed=seed, now_s=100.01) == Chosen(server=SERVERS[0])


@pytest.mark.parametrize("retry_after_s", [None, 0.5, 2.0])
def test_retry_after_of_shed_answer_is_respected(retry_after_s: float | None) -> None:
    loads = after_result(ServerLoads(), 0, ShedByServer(retry_after_s=retry_after_s))
    until_s = 100.0 + (retry_after_s or 0.05)
    servers = [choose(loads, now_s=until_s - 0.01, seed=s) for s in range(30)]
    assert Chosen(server=SERVERS[0]) not in servers
    servers = [choose(loads, now_s=until_s + 0.01, seed=s) for s in range(30)]
    assert Chosen(server=SERVERS[0]) in servers


@given(
    kinds=st.lists(st.integers(0, 3), min_size=4, max_size=4),
    repeatable=st.booleans(),
    seed=st.integers(0, 50),
)
def test_server_states_are_respected(
    kinds: list[int], repeatable: bool, seed: int
) -> None:
    states: list[ServerState | None] = [
        None,
        ServerAvoided(reason="path"),
        ServerEjected(reason="slow", until_s=1e9),
        ServerOnTrial(share=0.2),
    ]
    states_by_server = {
        server: state
        for server, kind in zip(SERVERS, kinds, strict=True)
        if (state := states[kind]) is not None
    }
    placement = Placement(domain=NEAR, repeatable=repeatable)
    chosen = choose(ServerLoads(), states_by_server, placement, seed=seed)
    match chosen:
        case NoServer() | ServersBusy():
            assert all(kind == 2 or (kind == 3 and not repeatable) for kind in kinds)
        case Chosen(server=server):
            kind = kinds[SERVERS.index(server)]
            assert kind != 2
            assert kind != 3 or repeatable
            assert kind != 1 or 0 not in kinds


@given(seed=st.integers(0, 100))
def test_failed_server_is_avoided_and_retried_later(seed: int) -> None:
    failed = after_result(ServerLoads(), 0, AnswerLate(waited_s=1.0))
    failed = after_result(failed, 0, ConnectFailed(reason="refused"))
    failed_server, non_repeatable = Chosen(server=SERVERS[0]), Placement(domain=NEAR)
    near_subset = make_subset(MEMBERS[:2], 3)
    assert choose(failed, now_s=100.9, seed=seed, subset=near_subset) != failed_server
    assert (
        choose(
            failed, now_s=105.0, placement=non_repeatable, seed=seed, subset=near_subset
        )
        != failed_server
    )
    tried = [choose(failed, now_s=105.0, seed=s, subset=near_subset) for s in range(30)]
    assert failed_server in tried
    assert (
        choose(failed, now_s=100.9, subset=make_subset(MEMBERS[:1], 3)) == failed_server
    )
    recovered = after_result(failed, 0, make_answer())
    assert load_of(recovered, SERVERS[0]).failures == 0


def test_timeout_below_typical_service_time_is_not_server_failure() -> None:
    loads = reserve_server(ServerLoads(), SERVERS[0])
    loads = release_server(
        loads, SERVERS[0], make_answer(), started_s=99.7, now_s=100.0
    )
    for waited_s, failures in ((0.4, 0), (2.0, 1)):
        loads = after_result(loads, 0, AnswerLate(waited_s=waited_s))
        assert load_of(loads, SERVERS[0]).failures == failures


def test_cancelled_attempt_is_not_server_failure() -> None:
    loads = after_result(ServerLoads(), 0, AttemptCancelled(waited_s=0.1))
    assert load_of(loads, SERVERS[0]).failures == 0


def test_server_with_expired_ejection_gets_small_share() -> None:
    expired: dict[ServerId, ServerState] = {
        SERVERS[0]: ServerEjected(reason="slow", until_s=99.0)
    }
    chosen = [choose(ServerLoads(), expired, seed=s) for s in range(200)]
    assert 0 < chosen.count(Chosen(server=SERVERS[0])) / 200 < 0.2
    single = make_subset(MEMBERS[:1], 3)
    assert choose(ServerLoads(), expired, subset=single) == Chosen(server=SERVERS[0])


def test_new_server_starts_with_small_share() -> None:
    members = (make_member(0, NEAR), make_member(1, NEAR, since_s=99.0))
    subset = make_subset(members, 2)
    chosen = [choose(ServerLoads(), seed=s, subset=subset) for s in range(200)]
    share = chosen.count(Chosen(server=SERVERS[1])) / 200
    assert 0 < share < 0.2


class DrainMachine(RuleBasedStateMachine):
    """Check that a draining server is probed by one attempt at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.loads = ServerLoads()
        self.now_s = 100.0
        self.draining = False
        self.drain_reported_s: float | None = None
        self.in_flight_started_s: list[float] = []
        self.subset = make_subset(MEMBERS[:1], 3)

    @rule()
    def toggle_draining(self) -> None:
        self.draining = not self.draining

    @rule(delta_s=st.sampled_from([0.001, 0.2, 2.9, 8.0, 100.0]))
    def advance_clock(self, delta_s: float) -> None:
        self.now_s += delta_s

    @rule()
    def send(self) -> None:
        chosen = choose(self.loads, now_s=self.now_s, subset=self.subset)
        if isinstance(chosen, NoServer | ServersBusy):
            return
        if self.drain_reported_s is not None:
            assert self.now_s >= self.drain_reported_s + 5.0
            assert not self.in_flight_started_s
        self.loads = reserve_server(self.loads, chosen.server)
        self.in_flight_started_s.append(self.now_s)

    @rule(broken=st.booleans())
    def finish(self, broken: bool) -> None:
        if not self.in_flight_started_s:
            return
        started_s = self.in_flight_started_s.pop(0)
        self.now_s += 0.001
        result: BackendResult = ConnectFailed(reason="refused")
        if not broken:
            result = make_answer(draining=self.draining)
            if self.draining:
                self.drain_reported_s = self.now_s
            elif (
                self.drain_reported_s is not None and started_s > self.drain_reported_s
            ):
                self.drain_reported_s = None
        self.loads = release_server(
            self.loads, SERVERS[0], result, started_s=started_s, now_s=self.now_s
        )

    @invariant()
    def in_flight_is_counted(self) -> None:
        assert load_of(self.loads, SERVERS[0]).in_flight == len(
            self.in_flight_started_s
        )


TestDrainMachine = DrainMachine.TestCase


def test_server_is_used_again_after_drain() -> None:
    loads = after_result(ServerLoads(), 0, make_answer(draining=True))
    single = make_subset(MEMBERS[:1], 3)
    assert choose(loads, now_s=104.9, subset=single) == ServersBusy(
        free_at_s=105.0, waits_for_attempts=False
    )
    assert choose(loads, now_s=105.1, subset=single) == Chosen(server=SERVERS[0])
    loads = reserve_server(loads, SERVERS[0])
    assert choose(loads, now_s=105.2, subset=single) == ServersBusy(free_at_s=inf)
    loads = release_server(
        loads, SERVERS[0], make_answer(), started_s=105.1, now_s=105.2
    )
    assert load_of(loads, SERVERS[0]).drain is None
    assert choose(loads, now_s=105.3, subset=single) == Chosen(server=SERVERS[0])


@given(seed=st.integers(0, 1000))
def test_request_queues_in_its_domain_up_to_margin(seed: int) -> None:
    full = after_result(
        after_result(ServerLoads(), 0, make_answer(busy=3)), 1, make_answer(busy=3)
    )
    queueing = evolve(REPEATABLE, local_queue_margin=1)
    near_servers = [Chosen(server=server) for server in SERVERS[:2]]
    assert choose(full, placement=queueing, seed=seed, now_s=100.01) in near_servers
    longer_queues = after_result(
        after_result(ServerLoads(), 0, make_answer(busy=5)), 1, make_answer(busy=5)
    )
    assert (
        choose(longer_queues, placement=queueing, seed=seed, now_s=100.01)
        not in near_servers
    )


@given(seed=st.integers(0, 1000))
def test_suspected_servers_are_used_last(seed: int) -> None:
    suspected = ServerSuspected(risk=0.9, at_s=100.0)
    states: dict[ServerId, ServerState] = {SERVERS[0]: suspected}
    for placement in (REPEATABLE, NON_REPEATABLE):
        chosen = choose(ServerLoads(), states, placement, seed=seed)
        assert chosen == Chosen(server=SERVERS[1])
    slightly_suspected: dict[ServerId, ServerState] = {
        SERVERS[0]: ServerSuspected(risk=0.3, at_s=100.0)
    }
    assert choose(
        ServerLoads(), slightly_suspected, NON_REPEATABLE, seed=seed
    ) == Chosen(server=SERVERS[1])


@given(seed=st.integers(0, 1000))
def test_share_of_avoided_servers_is_bounded(seed: int) -> None:
    states: dict[ServerId, ServerState] = {
        server: ServerSuspected(risk=0.6 + 0.1 * number, at_s=100.0)
        for number, server in enumerate(SERVERS)
    }
    chosen = choose(ServerLoads(), states, seed=seed)
    assert chosen in [Chosen(server=server) for server in SERVERS[:2]]


@given(seed=st.integers(0, 1000))
def test_local_risk_margin_keeps_request_in_its_domain(seed: int) -> None:
    states: dict[ServerId, ServerState] = {
        server: ServerSuspected(risk=0.6, at_s=100.0) for server in SERVERS[:2]
    }
    near_servers = [Chosen(server=server) for server in SERVERS[:2]]
    assert choose(ServerLoads(), states, seed=seed) not in near_servers
    tolerant = evolve(REPEATABLE, local_risk_margin=0.3)
    assert choose(ServerLoads(), states, tolerant, seed=seed) in near_servers


@given(seed=st.integers(0, 1000))
def test_majority_of_servers_may_be_avoided(seed: int) -> None:
    members = tuple(make_member(number, NEAR) for number in range(7))
    servers = [member.rule.server for member in members]
    states: dict[ServerId, ServerState] = {
        server: ServerSuspected(risk=0.97, at_s=100.0) for server in servers[:4]
    }
    chosen = choose(
        ServerLoads(), states, NON_REPEATABLE, seed=seed, subset=make_subset(members, 3)
    )
    assert chosen in [Chosen(server=server) for server in servers[4:]]


@given(seed=st.integers(0, 1000))
def test_least_risky_avoided_server_is_used_when_others_are_overloaded(
    seed: int,
) -> None:
    loads = ServerLoads()
    for number in (1, 3):
        loads = after_result(loads, number, make_answer(busy=7))
    states: dict[ServerId, ServerState] = {
        SERVERS[0]: ServerSuspected(risk=0.9, at_s=100.0),
        SERVERS[2]: ServerSuspected(risk=0.8, at_s=100.0),
    }
    chosen = choose(loads, states, NON_REPEATABLE, seed=seed, now_s=100.0)
    assert chosen == Chosen(server=SERVERS[2])


def test_replaced_server_gets_no_attempts() -> None:
    replaced = ShedByServer(retry_after_s=None, is_replaced=True)
    loads = after_result(ServerLoads(), 0, replaced)
    for now_s in (100.1, 102.0, 104.9):
        assert choose(loads, now_s=now_s) == Chosen(server=SERVERS[1])
