from collections import Counter

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.decisions.addresses import (
    AddressQuery,
    list_addresses,
    list_available_hosts,
)
from snipespring.decisions.limits import slot_holders
from snipespring.decisions.membership.tests.fleet_model import make_host, make_roster
from snipespring.records import (
    Address,
    DomainName,
    HostStatus,
    HostStatuses,
    HostView,
    OrganisationName,
    Roster,
    Versions,
)

LIFETIME_S = 10.0
numbers = st.integers(0, 999)


def offered(
    roster: Roster, organisation: int, caller: int, *, rate_per_s: float = 50.0
) -> list[Address]:
    question = AddressQuery(
        organisation=OrganisationName(f"o{organisation}"),
        rate_per_s=rate_per_s,
        local_domain=DomainName("d0"),
        caller=str(caller),
    )
    answer = list_addresses(roster.hosts.values(), question, lifetime_s=LIFETIME_S)
    return [offer.address for offer in answer.offers]


def domain_of(roster: Roster, address: Address) -> str:
    (domain,) = (
        host.domain for host in roster.hosts.values() if host.callers == address
    )
    return domain


@given(st.integers(1, 50), st.integers(1, 6), numbers, numbers)
def test_an_answer_spans_domains_and_starts_near(
    count: int, domains: int, organisation: int, caller: int
) -> None:
    roster = make_roster(count, domains=domains)
    found = offered(roster, organisation, caller)
    met = [domain_of(roster, address) for address in found]
    present = {host.domain for host in roster.hosts.values()}
    assert len(set(met)) >= min(2, len(present))
    assert met[0] == "d0"
    assert len(found) == len(set(found)) <= 4


@given(st.integers(12, 50), numbers, numbers, numbers)
def test_only_answers_that_offered_a_host_change_when_it_leaves(
    count: int, organisation: int, caller: int, leaver: int
) -> None:
    roster = make_roster(count)
    gone = make_host(leaver % count)
    before = offered(roster, organisation, caller)
    rest = evolve(roster, hosts=roster.hosts.delete(gone.host_id))
    after = offered(rest, organisation, caller)
    pool = {address for n in range(40) for address in offered(roster, organisation, n)}
    if gone.callers not in pool:
        assert after == before
    assert gone.callers not in after
    assert len(set(after) - set(before)) <= 2


def test_callers_of_a_large_organisation_spread_over_its_pool() -> None:
    roster = make_roster(44)
    firsts = Counter(
        offered(roster, 1, caller, rate_per_s=2000.0)[0] for caller in range(700)
    )
    assert len(firsts) == 7
    assert max(firsts.values()) < 2 * min(firsts.values())


def test_a_small_organisation_stays_on_few_hosts() -> None:
    roster = make_roster(44)
    met = {address for n in range(300) for address in offered(roster, 1, n)}
    assert len(met) == 6


def test_leaving_silent_and_restarted_hosts_are_not_offered() -> None:
    roster = make_roster(6)
    hosts = [make_host(number) for number in range(6)]
    views = {}
    for number, host in enumerate(hosts):
        status = HostStatus(
            host_id=host.host_id,
            incarnation=make_host(number, int(number == 3)).incarnation,
            sequence=1,
            versions=Versions(configuration=1, roster=1),
            leaving=number == 1,
            serving=number != 4,
        )
        last_s = 80.0 if number == 2 else 99.0
        views[host.host_id] = HostView(status=status, as_of_s=last_s)
    statuses = HostStatuses(by_host=Map(views))
    assert set(list_available_hosts(roster, statuses, now_s=100.0)) == {
        hosts[0],
        hosts[5],
    }


def test_two_domains_are_offered_where_one_is_known_to_serve() -> None:
    roster = make_roster(4)
    host = make_host(0)
    status = HostStatus(
        host_id=host.host_id,
        incarnation=host.incarnation,
        sequence=1,
        versions=Versions(configuration=1, roster=1),
    )
    view = HostView(status=status, as_of_s=99.0)
    statuses = HostStatuses(by_host=Map({host.host_id: view}))
    assert len(list_available_hosts(roster, statuses, now_s=100.0)) == 4


def test_all_that_stay_are_offered_where_none_is_known_to_serve() -> None:
    roster = make_roster(4)
    assert len(list_available_hosts(roster, HostStatuses(), now_s=100.0)) == 4


def test_an_answer_is_not_drawn_from_the_only_domain_heard_of() -> None:
    roster = make_roster(4, domains=2)
    own = next(iter(roster.hosts.values()))
    status = HostStatus(
        host_id=own.host_id,
        incarnation=own.incarnation,
        sequence=1,
        versions=Versions(configuration=1, roster=1),
        serving=True,
    )
    views = {own.host_id: HostView(status=status, as_of_s=99.0)}
    found = list_available_hosts(roster, HostStatuses(by_host=Map(views)), now_s=100.0)
    assert len({host.domain for host in found}) == 2


@given(st.integers(6, 50), numbers, numbers)
def test_holders_come_first_in_their_domain_where_they_suffice(
    count: int, organisation: int, caller: int
) -> None:
    roster = make_roster(count, domains=3)
    name = OrganisationName(f"o{organisation}")
    holders = slot_holders(roster, name)
    question = AddressQuery(
        organisation=name,
        rate_per_s=50.0,
        local_domain=DomainName("d0"),
        caller=str(caller),
        holders=frozenset(host.host_id for host in holders),
    )
    answer = list_addresses(roster.hosts.values(), question, lifetime_s=LIFETIME_S)
    near = [host.callers for host in holders if host.domain == "d0"]
    if near:
        assert answer.offers[0].address in near
    assert len({offer.domain for offer in answer.offers}) >= 2
