"""Guard against windows above a limit and against refusals below it."""

from collections.abc import Callable

import pytest

from .grants_fleet import GrantsFleet

MIN_ADMITTED = 0.96
FAULT_AT_S = 6.0
REPAIRED_AT_S = 8.5


@pytest.mark.parametrize("pressure", [1.0, 1.7])
@pytest.mark.parametrize("rate_per_s", [8.0, 20.0])
def test_organisation_gets_its_rate_however_much_it_asks(
    rate_per_s: float, pressure: float
) -> None:
    """Fail if hosts refuse requests below the limit, as for presumed surges.

    It is compared with a bucket of the rate and burst that gets the same requests.
    """
    fleet = GrantsFleet(rate_per_s=rate_per_s, hosts=32, domains=3, seed=5)
    fleet.run(lambda _: pressure, 25.0, counted_from_s=0.0)
    assert fleet.counted_share >= MIN_ADMITTED


@pytest.mark.parametrize("hosts,domains", [(1, 1), (5, 5), (12, 2), (100, 5)])
@pytest.mark.parametrize("pressure", [1.0, 3.0])
@pytest.mark.parametrize("seed", [2, 3])
def test_fleets_of_any_size_admit_what_a_bucket_admits(
    hosts: int, domains: int, pressure: float, seed: int
) -> None:
    """Fail if the division between domains or hosts causes refusals."""
    fleet = GrantsFleet(rate_per_s=20.0, hosts=hosts, domains=domains, seed=seed)
    fleet.run(lambda _: pressure, 14.0)
    assert fleet.counted_share >= MIN_ADMITTED
    assert fleet.fullest_window <= fleet.tolerated


@pytest.mark.parametrize("rate_per_s", [8.0, 100.0])
@pytest.mark.parametrize("hosts,domains", [(3, 3), (32, 3)])
@pytest.mark.parametrize("before", [0.05, 0.62, 1.7])
def test_surge_keeps_the_window(
    rate_per_s: float, hosts: int, domains: int, before: float
) -> None:
    """Fail if admissions that no report shows yet exceed the window."""
    fleet = GrantsFleet(rate_per_s=rate_per_s, hosts=hosts, domains=domains, seed=3)
    fleet.run(lambda at_s: 12.0 if at_s > 7.0 else before, 13.0)
    assert fleet.fullest_window <= fleet.tolerated


def kill(fleet: GrantsFleet, part: slice) -> dict[float, Callable[[], None]]:
    numbers = range(fleet.hosts)[part]

    def restart() -> None:
        for number in numbers:
            fleet.restart(number)

    return {FAULT_AT_S: lambda: fleet.dead.update(numbers), REPAIRED_AT_S: restart}


def cut_off(fleet: GrantsFleet, part: slice) -> dict[float, Callable[[], None]]:
    return {
        FAULT_AT_S: lambda: fleet.cut.update(range(fleet.hosts)[part]),
        REPAIRED_AT_S: fleet.cut.clear,
    }


def freeze(fleet: GrantsFleet, part: slice) -> dict[float, Callable[[], None]]:
    return {
        FAULT_AT_S: lambda: fleet.frozen.update(range(fleet.hosts)[part]),
        REPAIRED_AT_S: fleet.thaw,
    }


@pytest.mark.parametrize("pressure", [1.0, 3.0])
@pytest.mark.parametrize("fault", [kill, cut_off, freeze])
@pytest.mark.parametrize("part", [slice(3), slice(None, None, 2), slice(8)])
def test_faults_keep_the_window(
    fault: Callable[[GrantsFleet, slice], dict[float, Callable[[], None]]],
    part: slice,
    pressure: float,
) -> None:
    """Fail if hubs, halves or groups of hosts use more than their parts alone."""
    fleet = GrantsFleet(rate_per_s=40.0, hosts=30, domains=3, seed=4)
    fleet.run(lambda _: pressure, 13.0, events=fault(fleet, part))
    assert fleet.fullest_window <= fleet.tolerated


@pytest.mark.parametrize("pressure", [1.0, 12.0])
def test_lost_and_repeated_messages_keep_the_limit(pressure: float) -> None:
    """Fail if a lost answer refuses a request, or a repeated query counts twice."""
    fleet = GrantsFleet(rate_per_s=40.0, hosts=30, domains=3, seed=6, loss=0.1)
    fleet.run(lambda at_s: pressure if at_s > 7.0 else 0.62, 14.0)
    assert fleet.fullest_window <= fleet.tolerated
    assert fleet.counted_share >= MIN_ADMITTED


def test_organisation_below_half_of_its_window_causes_no_query() -> None:
    """Fail if organisations far from their limit cost messages."""
    fleet = GrantsFleet(rate_per_s=40.0, hosts=30, domains=3, seed=7)
    fleet.run(lambda at_s: 0.5 if at_s > 1.0 else 0.0, 10.0)
    assert fleet.queries == 0
    assert len(fleet.admitted_s) == fleet.asked
