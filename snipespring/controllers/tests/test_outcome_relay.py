"""Test how outcomes reach all hosts of a small and of a large fleet."""

from snipespring.records import (
    DomainName,
    HostId,
    OutcomeNotification,
)

from .domain_fleet import SmallFleet


def test_outcome_reaches_the_domain_before_any_report_is_received() -> None:
    fleet = SmallFleet()
    link = fleet.link("b-1")
    outcome = OutcomeNotification(
        sender=link.own_host.host_id,
        domain=link.own_host.domain,
        instance="i-1",
        is_failure=True,
    )
    link.outcome_relay.broadcast(outcome)
    recipients = {host_id for host_id, received in fleet.outcomes.items() if received}
    assert {HostId("b-0"), HostId("b-2")} <= recipients


def test_outcome_reaches_every_host_once_and_crosses_domains_twice() -> None:
    fleet = SmallFleet()
    fleet.run()
    sent_before = fleet.cross_domain_datagrams
    outcome = OutcomeNotification(
        sender=HostId("a-2"), domain=DomainName("a"), instance="i", is_failure=True
    )
    fleet.link("a-2").outcome_relay.broadcast(outcome)
    assert fleet.cross_domain_datagrams - sent_before == 2
    received = {
        host_id: len(instances) for host_id, instances in fleet.outcomes.items()
    }
    assert received.pop(HostId("a-2")) == 0
    assert set(received.values()) == {1}


def test_outcomes_in_a_large_domain_are_sent_on_together() -> None:
    """Forty failures within a moment cost few datagrams a host, not forty."""
    fleet = SmallFleet(hosts_per_domain=20)
    fleet.run()
    sent_before = fleet.datagrams
    failing = [host_id for host_id in fleet.outcomes if host_id.startswith("a-")]
    for number in range(40):
        origin = failing[number % len(failing)]
        outcome = OutcomeNotification(
            sender=origin, domain=DomainName("a"), instance=f"{number}", is_failure=True
        )
        fleet.link(origin).outcome_relay.broadcast(outcome)
    for _ in range(4):
        for link in fleet.links.values():
            link.outcome_relay.step()
        fleet.clock.advance(0.05)
    for host_id, received in fleet.outcomes.items():
        own = {f"{number}" for number in range(40) if failing[number % 20] == host_id}
        assert sorted(received) == sorted({f"{n}" for n in range(40)} - own)
    assert fleet.datagrams - sent_before < 40 + 3 * len(fleet.links)
