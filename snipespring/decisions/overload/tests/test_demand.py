from immutables import Map

from snipespring.decisions.domains import (
    make_hub_state,
    make_summary,
    make_view,
    receive_report,
    receive_summary,
)
from snipespring.decisions.overload import (
    add_demand,
    count_demand,
    count_first,
    count_retry,
    level_of,
)
from snipespring.frontends.datagrams import encode_datagram
from snipespring.records import (
    Address,
    DemandCounts,
    DemandLog,
    DomainName,
    DomainReports,
    FleetView,
    HostId,
    HostReport,
    Incarnation,
    PublishedHost,
    ServiceDemand,
    ServiceName,
)

SERVICE = ServiceName("ledger")
WINDOW_S = 10.0


def make_report(domain: int, number: int, *, sequence: int = 1) -> HostReport:
    address = Address(ip=f"10.{domain}.0.{number + 1}", port=7100)
    counts = DemandCounts(
        offered_ms=(3200, 1400, 900, 5200, 700, 4100),
        firsts=(8, 16, 4),
        wanted=(1, 2, 1),
        retries=(2, 1, 0),
        slots=40,
        used_slots=31,
        waiting=6,
        full_sheds=1,
    )
    demand = ServiceDemand(service=SERVICE, counts=counts, earlier_firsts=30)
    return HostReport(
        host=PublishedHost(
            host_id=HostId(f"{domain}-{number}"),
            domain=DomainName(f"d{domain}"),
            callers=address,
            peers=address,
        ),
        incarnation=Incarnation("first"),
        sequence=sequence,
        is_serving=True,
        demand=(demand,),
    )


def receive_domain(reports: DomainReports, domain: int, now_s: float) -> DomainReports:
    for number in range(30):
        reports = receive_report(reports, make_report(domain, number), now_s=now_s)
    return reports


def test_counts_leave_their_windows() -> None:
    """Guard against an exceeded bound on retries as requests leave the window."""
    log = DemandLog()
    for step in range(400):
        at_s = 100.0 + 0.1 * step
        counts = count_first(0) if step % 4 else count_retry(2, is_sent=True)
        log = add_demand(log, SERVICE, counts, window_s=WINDOW_S, now_s=at_s)
    (demand,) = count_demand(log, window_s=WINDOW_S, now_s=140.0)
    assert 25 <= demand.counts.retries[2] <= 28
    assert 73 <= demand.counts.firsts[0] <= 75
    assert 73 <= demand.earlier_firsts <= 75
    assert len(log.by_service[SERVICE]) <= 2 * WINDOW_S / 0.25 + 1
    assert count_demand(log, window_s=WINDOW_S, now_s=171.0) == ()


def test_a_view_sums_the_demand_of_all_other_hosts_of_all_domains() -> None:
    """Guard against a host's own requests counting twice or another domain's not."""
    reports = receive_domain(DomainReports(), 0, 10.0)
    others = receive_domain(DomainReports(), 1, 10.0)
    summary = make_summary(
        others, HostId("1-0"), DomainName("d1"), window_s=5.0, now_s=10.0
    )
    reports = receive_summary(reports, summary, now_s=10.0)
    state = make_hub_state(reports, window_s=5.0, now_s=10.0).state
    assert state is not None
    view = make_view(state, make_report(0, 3), FleetView(), now_s=10.0)
    demand = view.demand[SERVICE]
    assert demand.counts.firsts == (8 * 59, 16 * 59, 4 * 59)
    assert (demand.counts.slots, demand.earlier_firsts) == (40 * 59, 30 * 59)
    without = make_view(state, None, FleetView(), now_s=10.0)
    assert without.demand[SERVICE].counts.full_sheds == 60


def test_retries_of_a_silent_host_still_count() -> None:
    """Guard against a bound that is exceeded because a host with retries died."""
    reports = receive_domain(DomainReports(), 0, 10.0)
    state = make_hub_state(reports, window_s=5.0, now_s=12.0).state
    assert state is not None
    counts = make_view(state, None, FleetView(), now_s=12.0).demand[SERVICE].counts
    assert (counts.retries, counts.firsts, counts.slots) == ((60, 30, 0), (), 0)


def test_demand_adds_few_bytes_to_a_summary() -> None:
    """Guard against costly traffic between failure domains."""
    summary = make_summary(
        receive_domain(DomainReports(), 0, 10.0),
        HostId("0-0"),
        DomainName("d0"),
        window_s=5.0,
        now_s=10.0,
    )
    size = len(encode_datagram(summary))
    (demand,) = summary.demand
    bare = len(
        encode_datagram(
            make_summary(
                DomainReports(by_host=Map()),
                HostId("0-0"),
                DomainName("d0"),
                window_s=5.0,
                now_s=10.0,
            )
        )
    )
    names = sum(len(host) + 1 for host in summary.serving or ())
    assert size - bare - names <= 80
    assert demand.counts.offered_ms[0] == 3200 * 30


def test_the_costliest_requests_to_lose_have_the_lowest_levels() -> None:
    """Guard against refusals of urgent or light requests before others."""
    levels = [
        level_of(urgency, work_s, 0.5)
        for urgency in (0, 1, 2, 7)
        for work_s in (0.2, 0.8)
    ]
    assert levels == [0, 1, 2, 3, 4, 5, 4, 5]
