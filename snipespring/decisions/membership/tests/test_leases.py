from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.decisions.membership import decide_lease
from snipespring.records import (
    Host,
    HostStatus,
    HostStatuses,
    HostView,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    ObservedObject,
    Versions,
)

from .fleet_model import make_host, make_roster

LEASE_S = 4.0
NOW_S = 100.0
ROSTER = make_roster(5)
EFFECTIVE_VERSIONS = Versions(configuration=3, roster=1)
ages = st.floats(0.0, 10.0)


def observe(version: int, age_s: float) -> ObservedObject:
    return ObservedObject(version=version, content=b"", as_of_s=NOW_S - age_s)


def make_view(
    host: Host, age_s: float, versions: Versions = EFFECTIVE_VERSIONS
) -> HostView:
    status = HostStatus(
        host_id=host.host_id,
        incarnation=host.incarnation,
        sequence=1,
        versions=versions,
    )
    return HostView(status=status, as_of_s=NOW_S - age_s)


def decide(
    *views: HostView,
    own_host: Host | None = None,
    observed_configuration: ObservedObject | None = None,
    observed_roster: ObservedObject | None = None,
) -> LeaseState:
    return decide_lease(
        own_host=own_host or make_host(0),
        effective_versions=EFFECTIVE_VERSIONS,
        observed_configuration=observed_configuration,
        observed_roster=observed_roster,
        roster=ROSTER,
        statuses=HostStatuses(
            by_host=Map({entry.status.host_id: entry for entry in views})
        ),
        lease_s=LEASE_S,
        now_s=NOW_S,
    )


@given(ages, ages)
def test_an_isolated_host_holds_its_lease_for_the_lease_time(
    first_s: float, second_s: float
) -> None:
    lease = decide(
        observed_configuration=observe(3, first_s), observed_roster=observe(1, second_s)
    )
    observed_s = NOW_S - max(first_s, second_s)
    match lease:
        case LeaseHeld(until_s=until_s):
            assert until_s == observed_s + LEASE_S > NOW_S
        case LeaseLapsed():
            assert observed_s + LEASE_S <= NOW_S


@given(st.lists(ages, max_size=4))
def test_an_attested_lease_counts_from_the_oldest_report_of_a_majority(
    reported: list[float],
) -> None:
    views = [make_view(make_host(n + 1), age_s) for n, age_s in enumerate(reported)]
    lease = decide(*views)
    others = sorted(reported)[:2]
    if len(others) < 2 or others[-1] >= LEASE_S:
        assert isinstance(lease, LeaseLapsed)
    else:
        assert lease == LeaseHeld(until_s=NOW_S - others[-1] + LEASE_S)


def test_a_newer_version_on_any_host_or_the_platform_ends_the_lease() -> None:
    newer = Versions(configuration=4, roster=1)
    views = [make_view(make_host(n), 0.1) for n in (1, 2, 3)]
    assert isinstance(decide(*views), LeaseHeld)
    assert isinstance(decide(*views, make_view(make_host(4), 0.1, newer)), LeaseLapsed)
    lease = decide(
        observed_configuration=observe(4, 0.1), observed_roster=observe(1, 0.1)
    )
    assert isinstance(lease, LeaseLapsed)


def test_a_restarted_host_needs_a_majority_of_others() -> None:
    restarted = make_host(0, incarnation=7)
    views = [make_view(make_host(n), 0.1) for n in (1, 2, 3)]
    assert isinstance(decide(*views[:2], own_host=restarted), LeaseLapsed)
    assert isinstance(decide(*views, own_host=restarted), LeaseHeld)


def test_reports_of_other_incarnations_do_not_count() -> None:
    views = [make_view(make_host(n, incarnation=7), 0.1) for n in (1, 2, 3, 4)]
    assert isinstance(decide(*views), LeaseLapsed)
