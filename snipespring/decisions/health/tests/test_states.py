import pytest
from immutables import Map

from snipespring.decisions.health import combine_states, list_changes
from snipespring.decisions.health.avoiding import avoid_servers
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

from .builders import RULE, SERVERS, SERVICE, answers, make_report, with_errors

SICK = SERVERS[0]
NONE = ServerStates()
LOCAL = LocalHealth()


def lists_until(until_s: float) -> EjectionListCopies:
    held = EjectionListCopy(
        until_s=until_s,
        slow_bucket=30,
        ejected=(EjectedServer(server=SICK, reason="9 of 9 attempts bad"),),
    )
    return EjectionListCopies(by_service=Map({SERVICE: held}))


def test_copy_is_in_force_until_it_expires() -> None:
    lists = lists_until(3.0)
    assert combine_states(lists, LOCAL, 2.9).by_server == Map(
        {SICK: ServerEjected(reason="9 of 9 attempts bad", until_s=3.0)}
    )
    assert combine_states(lists, LOCAL, 3.0) == NONE


def test_change_names_the_address_and_the_evidence() -> None:
    lists = lists_until(3.0)
    new = combine_states(lists, LOCAL, 1.0)
    (out,) = list_changes(NONE, new, lists, 1.0)
    assert out.evidence == "10.0.0.1:0: 9 of 9 attempts bad"
    (back,) = list_changes(new, NONE, lists, 3.0)
    assert isinstance(back.state, ServerHealthy)
    assert "expired" in back.evidence


@pytest.mark.parametrize("ejected, avoided", [(2, 0), (1, 1)])
def test_host_avoids_a_server_alone_within_its_floor(
    ejected: int, avoided: int
) -> None:
    local = LOCAL
    for sequence in range(1, 20):
        counts: dict[ServerId, OutcomeCounts] = dict.fromkeys(
            SERVERS[1:], answers(5 * sequence)
        )
        counts[SICK] = with_errors(answers(0), 3 * sequence)
        local = avoid_servers(
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
