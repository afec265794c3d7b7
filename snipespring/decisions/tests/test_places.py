from math import inf
from random import Random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.controllers.tests.routing_fakes import make_admitted_request
from snipespring.decisions.confirmations import QueryStore
from snipespring.decisions.places import (
    ENDED_NOTICE_S,
    RESUME_DELAY_S,
    START_RELAY_S,
    START_WAIT_S,
    NoUsableServer,
    allowed_regions,
    apply_evacuation_mark,
    check_evacuation_relay,
    confirm_evacuations,
    find_known_s,
    list_evacuated,
    list_unknown_regions,
    make_evacuation_mark,
    next_resume_s,
    region_of,
    select_usable_servers,
)
from snipespring.decisions.routing.tests.test_choice import FAR, NEAR, SUBSET
from snipespring.decisions.server_relay import AwaitRelay
from snipespring.records import (
    Configuration,
    DomainName,
    Evacuation,
    EvacuationMark,
    EvacuationsFollowed,
    EvacuationsUnused,
    FeedView,
    OrganisationName,
    OrganisationRule,
    RegionMap,
    RunOnce,
    ServerSubset,
    StoreRelay,
)

EMPTY = FeedView[Evacuation]()
FOLLOWED = EvacuationsFollowed(since_s=10.0)
CONFIRMED = EvacuationsFollowed(since_s=10.0, confirmed_s=20.0)
LIMIT_S = 1.4
ROUTE = make_admitted_request(RunOnce(), 1.0).route
domains = st.lists(st.sampled_from("abc").map(DomainName), unique=True).map(
    lambda names: tuple(sorted(names))
)


def mark(revision: int, *names: str) -> EvacuationMark:
    listed = tuple(DomainName(name) for name in names)
    return EvacuationMark(revision=revision, domains=listed)


def know_any(_: DomainName) -> bool:
    return True


@given(
    lists=st.lists(domains, min_size=1, max_size=6),
    order=st.randoms(use_true_random=False),
)
def test_newest_digest_wins_in_any_order(
    lists: list[tuple[DomainName, ...]], order: Random
) -> None:
    # Guards against a late digest of a second hub that ends an evacuation.
    marks = [mark(number + 1, *names) for number, names in enumerate(lists)]
    order.shuffle(marks)
    view = EMPTY
    for received in marks:
        view = apply_evacuation_mark(view, received, now_s=5.0)
        view = apply_evacuation_mark(view, None, now_s=5.0)
    assert list_evacuated(view, now_s=100.0) == frozenset(lists[-1])


def test_servers_stay_unused_for_a_moment_after_an_evacuation() -> None:
    # Guards against requests to servers whose cold entries arrive after the end.
    view = apply_evacuation_mark(EMPTY, mark(3, NEAR), now_s=5.0)
    view = apply_evacuation_mark(view, mark(4), now_s=8.0)
    assert list_evacuated(view, now_s=8.0 + RESUME_DELAY_S - 0.01) == {NEAR}
    assert next_resume_s(view, now_s=8.0) == 8.0 + RESUME_DELAY_S
    assert list_evacuated(view, now_s=8.0 + RESUME_DELAY_S) == frozenset()
    assert next_resume_s(view, now_s=10.0) == inf


def test_object_that_cannot_be_read_has_no_effect() -> None:
    broken = Evacuation(domain=NEAR, problem="Spec: missing or of the wrong type")
    view = evolve(EMPTY, items=Map({NEAR: broken}), revision=3)
    assert list_evacuated(view, now_s=1.0) == frozenset()
    assert make_evacuation_mark(view, CONFIRMED, know_any, now_s=1.0) is None


def test_digest_says_nothing_while_no_domain_is_evacuated() -> None:
    # Guards against bytes in each digest of a fleet that evacuates nothing.
    view = evolve(EMPTY, revision=3)
    assert make_evacuation_mark(view, CONFIRMED, know_any, now_s=1.0) is None
    assert make_evacuation_mark(view, EvacuationsUnused(), know_any, now_s=1.0) is None
    # A host that has not read the list must not be taken to know that it is empty.
    unread = make_evacuation_mark(EMPTY, FOLLOWED, know_any, now_s=1.0)
    assert unread == EvacuationMark()
    assert confirm_evacuations(FOLLOWED, EMPTY, unread, reached_s=20.0) == FOLLOWED


def test_digest_tells_of_an_end_for_a_time_and_names_known_domains_only() -> None:
    # Guards against datagrams that grow with whatever names are in the store.
    view = apply_evacuation_mark(EMPTY, mark(3, NEAR, "junk"), now_s=5.0)
    made = make_evacuation_mark(
        view, CONFIRMED, lambda domain: domain == NEAR, now_s=6.0
    )
    assert made == mark(3, NEAR)
    view = apply_evacuation_mark(view, mark(4), now_s=8.0)
    assert make_evacuation_mark(view, CONFIRMED, know_any, now_s=9.0) == mark(4)
    late_s = 8.0 + ENDED_NOTICE_S
    assert make_evacuation_mark(view, CONFIRMED, know_any, now_s=late_s) is None


def test_host_that_missed_an_end_is_not_confirmed() -> None:
    # Guards against a domain that stays evacuated on a host that was cut off meanwhile.
    view = apply_evacuation_mark(EMPTY, mark(3, NEAR), now_s=5.0)
    assert confirm_evacuations(CONFIRMED, view, None, reached_s=30.0) == CONFIRMED
    same = confirm_evacuations(CONFIRMED, view, mark(3, NEAR), reached_s=30.0)
    assert same == evolve(CONFIRMED, confirmed_s=30.0)
    older = confirm_evacuations(CONFIRMED, view, mark(2), reached_s=30.0)
    assert older == CONFIRMED
    empty = confirm_evacuations(CONFIRMED, EMPTY, None, reached_s=30.0)
    assert empty == evolve(CONFIRMED, confirmed_s=30.0)


@pytest.mark.parametrize(
    ("state", "is_watcher", "now_s", "expected"),
    [
        (EvacuationsUnused(), True, 50.0, AwaitRelay(next_check_s=inf)),
        (CONFIRMED, True, 20.0, QueryStore()),
        (CONFIRMED, False, 20.0, AwaitRelay(next_check_s=20.0 + LIMIT_S)),
        (CONFIRMED, False, 20.0 + LIMIT_S, QueryStore()),
        (FOLLOWED, False, 10.0, AwaitRelay(next_check_s=10.0 + START_RELAY_S)),
        (FOLLOWED, False, 10.0 + START_RELAY_S, QueryStore()),
    ],
)
def test_store_is_asked_when_no_digest_confirms_the_list(
    state: EvacuationsUnused | EvacuationsFollowed,
    is_watcher: bool,
    now_s: float,
    expected: QueryStore | AwaitRelay,
) -> None:
    relay = StoreRelay(is_watcher=is_watcher)
    checked = check_evacuation_relay(state, relay, limit_s=LIMIT_S, now_s=now_s)
    assert checked == expected


def test_host_that_starts_waits_for_the_list_but_not_for_ever() -> None:
    assert find_known_s(FOLLOWED, now_s=10.0) == 10.0 + START_WAIT_S
    assert find_known_s(FOLLOWED, now_s=30.0) == 30.0
    assert find_known_s(CONFIRMED, now_s=10.0) == 10.0
    assert find_known_s(EvacuationsUnused(), now_s=10.0) == 10.0


def test_evacuated_servers_are_not_chosen_from() -> None:
    assert select_usable_servers(SUBSET, evacuated=frozenset()) is SUBSET
    usable = select_usable_servers(SUBSET, evacuated=frozenset({NEAR}))
    assert isinstance(usable, ServerSubset)
    assert {member.rule.domain for member in usable.members} == {FAR}
    refused = select_usable_servers(SUBSET, evacuated=frozenset({NEAR, FAR}))
    reason = "all 4 servers are in evacuated domains (far, near)"
    assert refused == NoUsableServer(reason=reason)


def make_regional_subset(regions: RegionMap) -> ServerSubset:
    members = tuple(
        evolve(
            member,
            rule=evolve(member.rule, region=region_of(regions, member.rule.domain)),
        )
        for member in SUBSET.members
    )
    return evolve(SUBSET, members=members)


REGIONS = RegionMap(
    own_domain=NEAR, own_region="east", by_domain=Map({FAR: "west", NEAR: "east"})
)


def test_request_reaches_servers_in_its_regions_only() -> None:
    subset = make_regional_subset(REGIONS)
    usable = select_usable_servers(
        subset, evacuated=frozenset(), regions=frozenset({"west", "nowhere"})
    )
    assert isinstance(usable, ServerSubset)
    assert {member.rule.domain for member in usable.members} == {FAR}
    refused = select_usable_servers(
        subset, evacuated=frozenset({FAR}), regions=frozenset({"west"})
    )
    reason = (
        "2 servers are outside the allowed regions (west); "
        "all 2 servers are in evacuated domains (far)"
    )
    assert refused == NoUsableServer(reason=reason)


def test_server_in_a_domain_of_no_known_region_is_excluded() -> None:
    # Guards against a missing row of the table that opens a restriction.
    subset = make_regional_subset(RegionMap(own_domain=NEAR, own_region="east"))
    usable = select_usable_servers(
        subset, evacuated=frozenset(), regions=frozenset({"east", "west"})
    )
    assert isinstance(usable, ServerSubset)
    assert {member.rule.domain for member in usable.members} == {NEAR}


@pytest.mark.parametrize(
    ("of_route", "of_organisation", "expected"),
    [
        (None, None, None),
        (frozenset("a"), None, frozenset("a")),
        (None, frozenset("b"), frozenset("b")),
        (frozenset("ab"), frozenset("bc"), frozenset("b")),
        (frozenset("a"), frozenset("b"), frozenset()),
    ],
)
def test_restrictions_of_route_and_organisation_both_apply(
    of_route: frozenset[str] | None,
    of_organisation: frozenset[str] | None,
    expected: frozenset[str] | None,
) -> None:
    route = evolve(ROUTE, regions=of_route)
    organisation = OrganisationRule(
        name=OrganisationName("valeters"),
        rate_per_s=1.0,
        burst=1.0,
        asked_by="a test",
        regions=of_organisation,
    )
    assert allowed_regions(route, organisation) == expected


def test_region_that_no_domain_is_in_is_found() -> None:
    route = evolve(ROUTE, regions=frozenset({"east", "atlantis"}))
    cfg = Configuration(version=3, host_routes=Map({"a.example": (route,)}))
    assert list_unknown_regions(cfg, REGIONS) == {"atlantis"}
