import pytest

from .server_fleet import Fault, ServerFleet

WINDOW_S = 2.0
FLOOR_SHARE = 0.7
STEP_S = 0.05


def list_starved_windows(
    fleet: ServerFleet, sound: frozenset[int], start_s: float, end_s: float
) -> list[tuple[float, float, float]]:
    """Return start, used share and unserved share of windows below the floor."""
    starved = []
    for step in range(int((end_s - start_s - WINDOW_S) / STEP_S)):
        from_s = start_s + step * STEP_S
        window = [a for a in fleet.arrivals if from_s <= a.at_s < from_s + WINDOW_S]
        unserved = sum(not arrival.is_served for arrival in window) / len(window)
        used = {arrival.server for arrival in window} & sound
        share = len(used) / len(sound)
        if 0.1 < unserved < 0.5 and 0.0 < share < FLOOR_SHARE:
            starved.append((round(from_s, 2), share, unserved))
    return starved


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_sound_servers_get_requests_while_others_fail(
    repeatable: bool, seed: int
) -> None:
    recovered, gray = frozenset(range(9)), frozenset(range(9, 18))
    fleet = ServerFleet(
        hosts=44,
        servers=18,
        rate_per_s=70.0,
        faults=(
            Fault(servers=recovered, start_s=4.0, end_s=6.0, ratio=0.75),
            Fault(servers=gray, start_s=12.0, end_s=20.0, ratio=0.45),
        ),
        repeatable=repeatable,
        seed=seed,
    )
    fleet.run(20.0)
    assert list_starved_windows(fleet, recovered, 10.0, 20.0) == []
