import pytest
from immutables import Map

from snipespring.decisions.health import combine_states, list_changes
from snipespring.decisions.health.avoidance import update_avoidance
from snipespring.records import (
    EjectedServer,
    EjectionListCopies,
    EjectionListCopy,
    LocalHealth,
    OutcomeCounts,
    ServerAvoided,
    ServerEjected,
    ServerHealthy,
    ServerId,
    ServerStates,
)

from .builders import RULE, SERVERS, SERVICE, add_errors, count_answers, make_report

UNHEALTHY = SERVERS[0]
NO_STATES = ServerStates()
NO_LOCAL_HEALTH = LocalHealth()


def make_lists(until_s: float) -> EjectionListCopies:
    held = EjectionListCopy(
        until_s=until_s,
        slow_bucket=30,
        ejected=(EjectedServer(server=UNHEALTHY, reason="9 of 9 attempts bad"),),
    )
    return EjectionListCopies(by_service=Map({SERVICE: held}))


def test_list_copy_is_effective_until_it_expires() -> None:
    lists = make_lists(3.0)
    assert combine_states(lists, NO_LOCAL_HEALTH, 2.9).by_server == Map(
        {UNHEALTHY: ServerEjected(reason="9 of 9 attempts bad", until_s=3.0)}
    )
    assert combine_states(lists, NO_LOCAL_HEALTH, 3.0) == NO_STATES


def test_state_change_has_address_and_evidence() -> None:
    lists = make_lists(3.0)
    new = combine_states(lists, NO_LOCAL_HEALTH, 1.0)
    (out,) = list_changes(NO_STATES, new, lists, 1.0)
    assert out.evidence == "10.0.0.1:0: 9 of 9 attempts bad"
    (back,) = list_changes(new, NO_STATES, lists, 3.0)
    assert isinstance(back.state, ServerHealthy)
    assert "expired" in back.evidence


@pytest.mark.parametrize("ejected, avoided", [(2, 0), (1, 1)])
def test_local_avoidance_satisfies_floor(ejected: int, avoided: int) -> None:
    local = NO_LOCAL_HEALTH
    for sequence in range(1, 20):
        counts: dict[ServerId, OutcomeCounts] = dict.fromkeys(
            SERVERS[1:], count_answers(5 * sequence)
        )
        counts[UNHEALTHY] = add_errors(count_answers(0), 3 * sequence)
        local = update_avoidance(
            local,
            make_report(1, sequence, counts),
            RULE,
            frozenset(SERVERS),
            ejected=frozenset(SERVERS[1 : 1 + ejected]),
            now_s=sequence / 4,
        )
    states = combine_states(EjectionListCopies(), local, 5.0).by_server
    assert len(states) == avoided
    assert all(isinstance(state, ServerAvoided) for state in states.values())
