from random import Random

from attrs import evolve
from immutables import Map

from snipespring.decisions.routing import Chosen, choose_server
from snipespring.decisions.routing.trials import draw_trial
from snipespring.records import (
    Placement,
    RecentOutcomes,
    ServerId,
    ServerLoads,
    ServerStates,
    ServerSuspected,
)

from .test_choice import NEAR, SERVERS, SUBSET

NOW_S = 100.0
FAILING = RecentOutcomes(good_per_s=6.0, failed_per_s=4.0)
CALM = RecentOutcomes(good_per_s=9.8, failed_per_s=0.2)


def count_trials(outcomes: RecentOutcomes, *, failed_s: float, avoided: int = 2) -> int:
    suspected = ServerSuspected(risk=0.9, at_s=failed_s, failed_s=failed_s)
    states = ServerStates(by_server=Map(dict.fromkeys(SERVERS[:avoided], suspected)))
    rng = Random(1)
    return sum(choose(outcomes, states, rng) in SERVERS[:avoided] for _ in range(1000))


def choose(outcomes: RecentOutcomes, states: ServerStates, rng: Random) -> ServerId:
    chosen = choose_server(
        SUBSET,
        ServerLoads(),
        states,
        Placement(domain=NEAR),
        now_s=NOW_S,
        rng=rng,
        outcomes=outcomes,
        floor_share=0.7,
    )
    assert isinstance(chosen, Chosen)
    return chosen.server


def test_avoided_server_of_a_failing_service_gets_a_bounded_share() -> None:
    assert 300 <= count_trials(FAILING, failed_s=NOW_S - 4.1) <= 500


def test_server_that_is_sound_again_2_s_after_its_failure_is_tried() -> None:
    # Guards against a sound server that gets nothing for 2 s more (FLOOR).
    assert 300 <= count_trials(FAILING, failed_s=NOW_S - 2.1) <= 500


def test_avoided_server_gets_nothing_while_its_service_is_well() -> None:
    assert count_trials(CALM, failed_s=NOW_S - 4.1) == 0


def test_no_server_is_tried_while_enough_are_used() -> None:
    assert count_trials(FAILING, failed_s=NOW_S - 4.1, avoided=1) == 0


def test_floor_counts_the_sound_servers_only() -> None:
    # Guards against leaving a third of the sound servers without requests while many
    # others of the service are not sound (FLOOR).
    servers = [f"s{number}" for number in range(55)]
    sound, failing = servers[:10], servers[10:34]
    suspected = ServerSuspected(risk=0.9, at_s=NOW_S - 4.0, failed_s=NOW_S - 4.0)
    recent = evolve(suspected, at_s=NOW_S, failed_s=NOW_S)
    ids = {name: evolve(SERVERS[0], instance=name) for name in servers}
    states = ServerStates(
        by_server=Map(
            {ids[name]: suspected for name in sound}
            | {ids[name]: recent for name in failing}
        )
    )
    rng = Random(2)
    trials = [
        draw_trial(
            [ids[name] for name in (*sound, *failing)],
            states,
            evolve(FAILING, good_per_s=60.0, failed_per_s=20.0),
            usable=21,
            floor_share=0.7,
            now_s=NOW_S,
            rng=rng,
        )
        for _ in range(500)
    ]
    assert set(trials) - {None} == {ids[name] for name in sound}


def test_server_that_failed_just_now_is_not_tried() -> None:
    assert count_trials(FAILING, failed_s=NOW_S - 1.9) == 0
