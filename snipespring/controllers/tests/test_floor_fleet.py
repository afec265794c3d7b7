import pytest

from .server_fleet import DOMAINS, Fault, ServerFleet

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


def make_fleet(
    servers: int, rate_per_s: float, *, repeatable: bool, seed: int
) -> ServerFleet:
    """Return a fleet whose first half of servers recovers before the others fail."""
    half = servers // 2
    return ServerFleet(
        hosts=44,
        servers=servers,
        rate_per_s=rate_per_s,
        faults=(
            Fault(servers=frozenset(range(half)), start_s=4.0, end_s=6.0, ratio=0.75),
            Fault(
                servers=frozenset(range(half, servers)),
                start_s=12.0,
                end_s=20.0,
                ratio=0.45,
            ),
        ),
        repeatable=repeatable,
        seed=seed,
    )


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_sound_servers_get_requests_while_others_fail(
    repeatable: bool, seed: int
) -> None:
    fleet = make_fleet(18, 70.0, repeatable=repeatable, seed=seed)
    fleet.run(20.0)
    assert list_starved_windows(fleet, frozenset(range(9)), 10.0, 20.0) == []


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize(("servers", "rate_per_s"), [(9, 27.0), (6, 27.0), (6, 10.0)])
def test_sound_servers_of_a_small_service_get_requests_while_others_fail(
    servers: int, rate_per_s: float, repeatable: bool
) -> None:
    starved = []
    for seed in range(6):
        fleet = make_fleet(servers, rate_per_s, repeatable=repeatable, seed=seed)
        fleet.run(20.0)
        sound = frozenset(range(servers // 2))
        starved += list_starved_windows(fleet, sound, 10.0, 20.0)
    assert starved == []


def test_servers_of_a_domain_without_callers_get_requests_while_others_fail() -> None:
    starved = []
    for seed in range(8):
        fleet = ServerFleet(
            hosts=44,
            servers=9,
            rate_per_s=12.0,
            faults=(
                Fault(servers=frozenset({6, 7, 8}), start_s=6.0, end_s=14.0, ratio=0.6),
            ),
            repeatable=False,
            seed=seed,
            calling_domains=DOMAINS[:2],
        )
        fleet.run(14.0)
        starved += list_starved_windows(fleet, frozenset(range(6)), 4.0, 14.0)
    assert starved == []
