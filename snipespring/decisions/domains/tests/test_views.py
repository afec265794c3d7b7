"""Check what hubs give to the hosts of a large failure domain."""

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from snipespring.decisions.domains import (
    choose_hubs,
    make_digest,
    make_hub_state,
    make_request,
    make_summary,
    make_view,
    receive_report,
    receive_summary,
)
from snipespring.frontends.datagrams import encode_datagram
from snipespring.records import (
    Address,
    DomainName,
    DomainReports,
    FleetView,
    HostCapacity,
    HostId,
    HostReport,
    Incarnation,
    OrganisationName,
    OrganisationUsage,
    PublishedHost,
    ServerAnswers,
    StateRequest,
)

WINDOW_S = 5.0
DOMAIN_HOSTS = 62
DOMAINS = 5
ORGANISATIONS = 140
# A link of 6 Mbit/s carries this many bytes in the interval between two reports.
MAX_BYTES_PER_REPORT = 6_000_000 / 8 * 0.25 / DOMAIN_HOSTS


def make_host(domain: int, number: int, cores: float = 0.43) -> PublishedHost:
    address = Address(ip=f"10.{domain}.0.{number + 1}", port=7100)
    return PublishedHost(
        host_id=HostId(f"front-eire-east-{'abcde'[domain]}-{number}"),
        domain=DomainName(f"eire-east-{'abcde'[domain]}"),
        callers=address,
        peers=address,
        capacity=HostCapacity(cores=cores, link_mbps=20.0),
    )


def make_report(domain: int, number: int, sequence: int = 1) -> HostReport:
    return HostReport(
        host=make_host(domain, number),
        incarnation=Incarnation("first"),
        sequence=sequence,
        is_serving=True,
        usage=tuple(
            OrganisationUsage(
                organisation=OrganisationName(f"organisation-{entry}"),
                admitted=2,
                received=1,
            )
            for entry in range(number % 9, ORGANISATIONS, 15)
        ),
        answers=tuple(
            ServerAnswers(instance=f"i-7f3a91c{entry:03}", good=1)
            for entry in range(number % 50, 200, 50)
        ),
        request=StateRequest(),
    )


def make_large_domain() -> DomainReports:
    reports = DomainReports()
    for number in range(DOMAIN_HOSTS):
        reports = receive_report(reports, make_report(0, number), now_s=10.0)
    for domain in range(1, DOMAINS):
        others = DomainReports()
        for number in range(DOMAIN_HOSTS):
            others = receive_report(others, make_report(domain, number), now_s=10.0)
        first = make_host(domain, 0)
        summary = make_summary(
            others, first.host_id, first.domain, window_s=WINDOW_S, now_s=10.0
        )
        reports = receive_summary(reports, summary, now_s=10.0)
    return reports


def test_digests_of_a_large_domain_fit_a_thin_link() -> None:
    hub_state = make_hub_state(make_large_domain(), window_s=WINDOW_S, now_s=10.0)
    view, sizes = FleetView(), []
    report = make_report(0, 5)
    for round_number in range(8):
        now_s = 10.0 + 0.25 * round_number
        request = make_request(
            view, is_first_hub=True, domain_hosts=DOMAIN_HOSTS, now_s=now_s
        )
        digest = make_digest(hub_state, HostId("hub"), evolve(report, request=request))
        sizes.append(len(encode_datagram(digest)))
        assert digest.state is not None
        view = make_view(digest.state, report, view, now_s=now_s)
        assert len(view.serving) == DOMAINS * DOMAIN_HOSTS
    assert sum(sizes[1:]) / len(sizes[1:]) < MAX_BYTES_PER_REPORT


def test_the_second_hub_is_asked_only_while_the_first_does_not_answer() -> None:
    view = FleetView(as_of_s=10.0)

    def request(now_s: float, *, is_first_hub: bool) -> StateRequest | None:
        return make_request(
            view, is_first_hub=is_first_hub, domain_hosts=DOMAIN_HOSTS, now_s=now_s
        )

    assert request(10.25, is_first_hub=True) is not None
    assert request(10.25, is_first_hub=False) is None
    assert request(10.75, is_first_hub=False) is not None


@given(
    numbers=st.sets(st.integers(0, 20), min_size=1),
    observer=st.integers(0, 20),
    sequence=st.integers(1, 3),
)
def test_a_view_excludes_exactly_the_own_report(
    numbers: set[int], observer: int, sequence: int
) -> None:
    reports = DomainReports()
    for number in numbers:
        reports = receive_report(reports, make_report(0, number, sequence), now_s=10.0)
    hub_state = make_hub_state(reports, window_s=WINDOW_S, now_s=10.0)
    own = make_report(0, observer, sequence)
    digest = make_digest(hub_state, HostId("hub"), own)
    assert digest.state is not None
    is_included = digest.included_sequence == sequence
    assert is_included == (observer in numbers)
    view = make_view(
        digest.state, own if is_included else None, FleetView(), now_s=10.0
    )
    others = numbers - {observer}
    expected: dict[str, int] = {}
    for number in others:
        for usage in make_report(0, number).usage:
            name = usage.organisation
            expected[name] = expected.get(name, 0) + usage.admitted
    assert {name: usage.admitted for name, usage in view.usage.items()} == expected
    assert view.heard_hosts == len(others) + 1
    assert sum(view.answers.values()) == 4 * len(others)


def test_the_largest_hosts_of_a_domain_are_its_hubs() -> None:
    hosts = [make_host(0, number) for number in range(9)]
    hosts[4] = make_host(0, 4, cores=2.15)
    hosts[7] = make_host(0, 7, cores=0.86)
    thin = make_host(0, 2, cores=9.0)
    hosts[2] = evolve(thin, capacity=evolve(thin.capacity, link_mbps=1.0))
    chosen = choose_hubs(hosts, hosts[0].domain, silent=frozenset())
    assert [hub.host_id for hub in chosen] == [hosts[4].host_id, hosts[7].host_id]
    silent = frozenset({hosts[4].host_id})
    chosen = choose_hubs(hosts, hosts[0].domain, silent=silent)
    assert [hub.host_id for hub in chosen] == [hosts[7].host_id, hosts[0].host_id]
