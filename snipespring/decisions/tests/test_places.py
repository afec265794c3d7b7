from random import Random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.controllers.tests.routing_fakes import make_admitted_request
from snipespring.decisions.places import (
    ENDED_NOTICE_S,
    RESUME_DELAY_S,
    NoUsableServer,
    allowed_regions,
    apply_evacuation_mark,
    confirm_evacuations,
    list_evacuated,
    list_unknown_regions,
    make_evacuation_mark,
    next_resume_s,
    region_of,
    select_usable_servers,
)
from snipespring.decisions.routing.tests.test_choice import FAR, NEAR, SUBSET
from snipespring.records import (
    Configuration,
    DomainName,
    Evacuation,
    EvacuationMark,
    EvacuationsFollowed,
    FeedView,
    OrganisationName,
    OrganisationRule,
    RegionMap,
    RunOnce,
)

EMPTY = FeedView[Evacuation]()
CONFIRMED = EvacuationsFollowed(since_s=10.0, confirmed_s=20.0)
EAST, WEST = frozenset({"east"}), frozenset({"west"})
ROUTE = evolve(make_admitted_request(RunOnce(), 1.0).route, regions=EAST | WEST)
REGIONS = RegionMap(own_domain=NEAR, own_region="east", by_domain=Map({FAR: "west"}))


def mark(revision: int, *names: str, era: int = 0) -> EvacuationMark:
    listed = tuple(DomainName(name) for name in names)
    return EvacuationMark(revision=revision, domains=listed, era=era)


@given(
    lists=st.lists(st.sets(st.sampled_from("abc")), min_size=1, max_size=6),
    order=st.randoms(use_true_random=False),
)
def test_newest_digest_wins_in_any_order(lists: list[set[str]], order: Random) -> None:
    # Guards against a late digest of a second hub that ends an evacuation.
    marks = [mark(number + 1, *names) for number, names in enumerate(lists)]
    order.shuffle(marks)
    view = EMPTY
    for received in marks:
        view = apply_evacuation_mark(view, received, now_s=5.0)
        view = apply_evacuation_mark(view, None, now_s=5.0)
    assert list_evacuated(view, now_s=100.0) == lists[-1]


def test_digest_says_only_what_hosts_need() -> None:
    # Guards against bytes for nothing, and against an unread list taken for empty.
    def make(view: FeedView[Evacuation], now_s: float) -> EvacuationMark | None:
        return make_evacuation_mark(view, CONFIRMED, {NEAR}.__contains__, now_s=now_s)

    view = apply_evacuation_mark(EMPTY, mark(3, NEAR, "junk"), now_s=5.0)
    assert make(view, 6.0) == mark(3, NEAR)
    # A host that missed the end, and gets no mark, has to read the list itself.
    assert confirm_evacuations(CONFIRMED, view, None, reached_s=30.0) == CONFIRMED
    view = apply_evacuation_mark(view, mark(4), now_s=8.0)
    assert make(view, 9.0) == mark(4)
    # Cold entries may arrive after the end, so the servers stay unused for a moment.
    assert list_evacuated(view, now_s=8.0 + RESUME_DELAY_S - 0.01) >= {NEAR}
    assert list_evacuated(view, now_s=8.0 + RESUME_DELAY_S) == frozenset()
    assert make(view, 8.0 + ENDED_NOTICE_S) is None
    followed = EvacuationsFollowed(since_s=1.0)
    unread = make_evacuation_mark(EMPTY, followed, {NEAR}.__contains__, now_s=1.0)
    assert confirm_evacuations(followed, EMPTY, unread, reached_s=2.0) == followed


def test_hub_that_reads_the_list_anew_confirms_nothing() -> None:
    # Guards against a host that has just started and sends to an evacuated domain,
    # because its hub discarded the revision after a restore or a gap.
    view = evolve(apply_evacuation_mark(EMPTY, mark(3, NEAR), now_s=5.0), revision=None)
    sent = make_evacuation_mark(view, CONFIRMED, {NEAR}.__contains__, now_s=6.0)
    followed = EvacuationsFollowed(since_s=5.5)
    assert confirm_evacuations(followed, EMPTY, sent, reached_s=5.8) == followed


def test_marks_count_in_their_era_only() -> None:
    # Guards against a late digest from before a restore that ends or confirms an
    # evacuation by a revision that the store has issued again.
    view = apply_evacuation_mark(EMPTY, mark(9, NEAR), now_s=5.0, grace_s=3.0)
    newer = mark(4, FAR, era=1)
    assert confirm_evacuations(CONFIRMED, view, newer, reached_s=30.0) == CONFIRMED
    view = apply_evacuation_mark(view, newer, now_s=10.0, grace_s=3.0)
    assert (view.era, view.revision) == (1, 4)
    for late in (mark(9, NEAR), mark(12)):
        assert apply_evacuation_mark(view, late, now_s=11.0) is view
        assert confirm_evacuations(CONFIRMED, view, late, reached_s=30.0) == CONFIRMED
    assert confirm_evacuations(CONFIRMED, view, None, reached_s=30.0) == CONFIRMED
    confirmed = confirm_evacuations(CONFIRMED, view, newer, reached_s=30.0)
    assert confirmed == evolve(CONFIRMED, confirmed_s=30.0)
    # What the restored store lacks is kept, but not passed on as listed by it.
    known = {NEAR, FAR}.__contains__
    assert make_evacuation_mark(view, CONFIRMED, known, now_s=11.0) == newer
    ends_s = 13.0 + RESUME_DELAY_S
    assert list_evacuated(view, now_s=ends_s - 0.01) == {NEAR, FAR}
    assert next_resume_s(view, now_s=11.0) == ends_s
    assert list_evacuated(view, now_s=ends_s) == {FAR}
    again = apply_evacuation_mark(view, mark(5, NEAR, FAR, era=1), now_s=12.0)
    assert list_evacuated(again, now_s=99.0) == {NEAR, FAR}
    # A host that has discarded its revision reads the list itself.
    unknown = evolve(view, revision=None)
    late = mark(2, era=1)
    assert apply_evacuation_mark(unknown, late, now_s=12.0) is unknown
    assert confirm_evacuations(CONFIRMED, unknown, late, reached_s=30.0) == CONFIRMED


@pytest.mark.parametrize(
    ("evacuated", "regions", "expected"),
    [
        ({NEAR}, None, {FAR}),
        ({NEAR, FAR}, None, "all 4 servers are in evacuated domains (far, near)"),
        (set(), EAST, {NEAR}),
        (set(), WEST, "4 servers are outside the allowed regions (west)"),
        (
            {NEAR},
            EAST,
            "2 servers are outside the allowed regions (east); "
            "all 2 servers are in evacuated domains (near)",
        ),
    ],
)
def test_only_usable_servers_remain(
    evacuated: set[DomainName], regions: frozenset[str] | None, expected: object
) -> None:
    # The region of the far servers is not known, which excludes them.
    known = evolve(REGIONS, by_domain=Map())
    members = tuple(
        evolve(
            member,
            rule=evolve(member.rule, region=region_of(known, member.rule.domain)),
        )
        for member in SUBSET.members
    )
    usable = select_usable_servers(
        evolve(SUBSET, members=members), evacuated=frozenset(evacuated), regions=regions
    )
    if isinstance(usable, NoUsableServer):
        assert usable.reason == expected
    else:
        assert {member.rule.domain for member in usable.members} == expected


def test_restrictions_of_route_and_organisation_both_apply() -> None:
    organisation = OrganisationRule(
        name=OrganisationName("valeters"),
        rate_per_s=1.0,
        burst=1.0,
        asked_by="a test",
        regions=WEST | {"atlantis"},
    )
    open_route = evolve(ROUTE, regions=None)
    assert allowed_regions(ROUTE, organisation) == WEST
    assert allowed_regions(ROUTE, None) == EAST | WEST
    assert allowed_regions(open_route, organisation) == WEST | {"atlantis"}
    assert allowed_regions(open_route, None) is None
    cfg = Configuration(organisations=Map({organisation.name: organisation}))
    assert list_unknown_regions(cfg, REGIONS) == {"atlantis"}
