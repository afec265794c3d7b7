from attrs import evolve
from immutables import Map

from snipespring.decisions.serving import (
    ServingConditions,
    is_serving,
    list_unmet_conditions,
)
from snipespring.records import (
    Address,
    Configuration,
    DomainName,
    LeaseHeld,
    LeaseLapsed,
    Leaving,
    ServerId,
    ServerRule,
    ServerSubset,
    ServiceName,
    ServiceRule,
    Serving,
    SubsetMember,
)

SERVICE = ServiceName("ledger")
RULE = ServerRule(
    server=ServerId(service=SERVICE, address=Address(ip="10.0.0.1", port=1)),
    domain=DomainName("near"),
    asked_by="a test",
)
EMPTY = ServerSubset(service=SERVICE, slots=3, in_flight_cap=3)
READY = ServingConditions(
    stop=Serving(),
    configuration=Configuration(
        version=4,
        services=Map({SERVICE: ServiceRule(name=SERVICE, asked_by="a test")}),
        servers=Map({SERVICE: (RULE,)}),
    ),
    lease=LeaseHeld(until_s=10.0),
    has_servers=True,
    subsets={SERVICE: evolve(EMPTY, members=(SubsetMember(rule=RULE),))},
)


def test_host_serves_with_configuration_and_lease_only() -> None:
    assert is_serving(READY, 9.0)
    assert not is_serving(READY, 10.0)
    assert not is_serving(evolve(READY, lease=LeaseLapsed(reason="expired")), 9.0)
    assert not is_serving(evolve(READY, stop=Leaving(until_s=99.0)), 9.0)
    assert not is_serving(evolve(READY, configuration=Configuration()), 9.0)


def test_host_without_listed_servers_does_not_serve() -> None:
    assert not is_serving(evolve(READY, has_servers=False), 9.0)
    assert not is_serving(evolve(READY, subsets={}), 9.0)
    assert not is_serving(evolve(READY, subsets={SERVICE: EMPTY}), 9.0)


def test_service_without_servers_does_not_prevent_serving() -> None:
    without_servers = evolve(
        READY, configuration=Configuration(version=4), subsets={SERVICE: EMPTY}
    )
    assert is_serving(without_servers, 9.0)


def test_servers_of_a_service_that_is_not_configured_do_not_prevent_serving() -> None:
    # Guards against one odd entry of a server that made every host say that it is not
    # ready, so that callers were offered no host in particular.
    cfg = READY.configuration
    odd = cfg.servers.set(ServiceName("unknown"), (RULE,))
    assert is_serving(evolve(READY, configuration=evolve(cfg, servers=odd)), 9.0)


def test_every_unmet_condition_is_named() -> None:
    # Guards against a host that is not ready without a word on what it waits for.
    started = ServingConditions(
        stop=Serving(),
        configuration=Configuration(),
        lease=LeaseLapsed(reason="expired"),
        has_servers=False,
        subsets={},
    )
    assert list_unmet_conditions(started, 9.0) == (
        "no lease",
        "no configuration",
        "the servers have not been listed",
    )
    without_chosen = evolve(READY, subsets={})
    assert list_unmet_conditions(without_chosen, 10.0) == (
        "the lease has ended",
        "no servers are chosen for 1 services (first: ledger)",
    )
    assert list_unmet_conditions(READY, 9.0) == ()
