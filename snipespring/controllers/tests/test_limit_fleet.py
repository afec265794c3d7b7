import pytest
from immutables import Map

from .server_fleet import Arrival, ServerFleet

STABILITY_S = 3.0
TOLD_BEFORE_S = 0.5
WINDOW_S = 4.0
FROM_S, TO_S, END_S = 4.0, 30.0, 60.0
LIMITS_PER_S = Map({0: 1.0, 1: 3.4, 2: 4.7, 3: 6.2, 4: 1.0})


def play(hosts: int, seed: int) -> ServerFleet:
    fleet = ServerFleet(
        hosts=hosts,
        servers=7,
        rate_per_s=20.6,
        faults=(),
        repeatable=True,
        seed=seed,
        limits_per_s=LIMITS_PER_S,
        limited_from_s=FROM_S,
        limited_to_s=TO_S,
    )
    fleet.run(END_S)
    return fleet


def count_most(arrivals: list[Arrival]) -> int:
    """Return the most counted requests of one server in any window."""
    times = [
        arrival.at_s
        for arrival in arrivals
        if FROM_S + STABILITY_S <= arrival.at_s < TO_S
        and arrival.told_s is not None
        and arrival.told_s <= arrival.at_s - TOLD_BEFORE_S
    ]
    return max(
        (sum(start <= at < start + WINDOW_S for at in times) for start in times),
        default=0,
    )


@pytest.mark.parametrize("hosts", [6, 12, 32, 292])
@pytest.mark.parametrize("seed", range(3))
def test_server_gets_no_more_than_the_limit_that_it_named(
    hosts: int, seed: int
) -> None:
    fleet = play(hosts, seed)
    over = {}
    for server, limit_per_s in LIMITS_PER_S.items():
        most = count_most([a for a in fleet.arrivals if a.server == server])
        allowed = 1.5 * limit_per_s * WINDOW_S + 5.0
        if most > allowed:
            over[server] = (most, allowed)
    assert over == {}


def test_server_gets_its_share_again_after_its_limit_ended() -> None:
    fleet = play(hosts=12, seed=1)
    late = [arrival.server for arrival in fleet.arrivals if arrival.at_s >= 50.0]
    assert all(late.count(server) >= len(late) / 14 for server in range(7))
