"""Measure the series of each role on the project's own code."""

import tracemalloc
from collections.abc import Callable

from snipespring.decisions.addresses import AddressQuery, list_addresses
from snipespring.decisions.membership import (
    advance_fence,
    decide_lease,
    find_role_holder,
    make_aged_statuses,
    receive_statuses,
)
from snipespring.decisions.rules import (
    ParsedRules,
    check_rules,
    find_route,
    make_configuration,
    parse_rules,
)
from snipespring.records import (
    DomainName,
    Fence,
    Host,
    HostId,
    HostStatuses,
    OrganisationName,
    Versions,
)

from .fit import Point, Series, time_call_us
from .inputs import (
    make_roster,
    make_rules_configuration,
    make_rules_text,
    make_statuses,
)

__all__ = [
    "measure_addresses",
    "measure_leases",
    "measure_memory",
    "measure_placement",
    "measure_routes",
    "measure_rules",
    "measure_statuses",
]

ROUTE_SIZES = (1875, 3750, 7500, 15000)
LINE_SIZES = (8000, 16000, 32000, 64000)
HOST_SIZES = (109, 218, 435, 870)
ORGANISATION_SIZES = (3000, 6000, 12000, 24000)
SERVER_SIZES = (1200, 2400, 4800, 9600)
BYTES_PER_KB = 1000.0
NOW_S = 1000.0
LEASE_S = 4.0
DRIFT_MARGIN_S = 0.4


def measure_routes() -> list[Series]:
    """Measure one route lookup by routes."""

    def cost(routes: int) -> float:
        cfg = make_rules_configuration(routes=routes, organisations=0, servers=600)
        paths = [f"/p{n % 500}/r{n}/x" for n in range(0, routes, routes // 100)]

        def look_up() -> None:
            for path in paths:
                find_route(cfg, "GET", path)

        return time_call_us(look_up) / len(paths)

    return [
        _measure_series("routing", "route lookup", ROUTE_SIZES, "routes", "us", cost)
    ]


def measure_rules() -> list[Series]:
    """Measure parsing, checking and indexing by lines."""

    def cost(lines: int) -> float:
        text = make_rules_text(routes=lines // 4, organisations=0, servers=0)
        text += make_rules_text(
            routes=0, organisations=lines * 3 // 8, servers=0
        ).split(b"\n", 1)[1]

        def load() -> None:
            parsed = parse_rules(text)
            assert isinstance(parsed, ParsedRules)
            check_rules(parsed.rules)
            make_configuration(tuple(placed.rule for placed in parsed.rules), 1)

        return time_call_us(load) / 1000.0

    what = "parse check and index"
    return [_measure_series("configuration", what, LINE_SIZES, "lines", "ms", cost)]


def measure_memory() -> list[Series]:
    """Measure the blackboard's memory by organisations, servers and hosts."""

    def organisations(size: int) -> float:
        return _measure_memory_kb(
            lambda: make_rules_configuration(routes=0, organisations=size, servers=0)
        )

    def routes(size: int) -> float:
        return _measure_memory_kb(
            lambda: make_rules_configuration(routes=size, organisations=0, servers=600)
        )

    def servers(size: int) -> float:
        return _measure_memory_kb(
            lambda: make_rules_configuration(routes=0, organisations=0, servers=size)
        )

    def hosts(size: int) -> float:
        return _measure_memory_kb(lambda: (make_roster(size), make_statuses(size)))

    return [
        _measure_series(
            "memory",
            "organisations",
            ORGANISATION_SIZES,
            "organisations",
            "KB",
            organisations,
        ),
        _measure_series("memory", "routes", ROUTE_SIZES, "routes", "KB", routes),
        _measure_series("memory", "servers", SERVER_SIZES, "servers", "KB", servers),
        _measure_series("memory", "hosts", HOST_SIZES, "hosts", "KB", hosts),
    ]


def measure_addresses() -> list[Series]:
    """Measure one address answer by hosts and by organisations."""

    def by_hosts(size: int) -> float:
        hosts = list(make_roster(size).hosts.values())
        return time_call_us(lambda: _answer_query(hosts, "o1"), calls=20)

    def by_organisations(size: int) -> float:
        hosts = list(make_roster(HOST_SIZES[0]).hosts.values())
        names = [f"o{n}" for n in range(0, size, size // 50)]

        def answer_all() -> None:
            for name in names:
                _answer_query(hosts, name)

        return time_call_us(answer_all) / len(names)

    return [
        _measure_series(
            "addresses", "answer by hosts", HOST_SIZES, "hosts", "us", by_hosts
        ),
        _measure_series(
            "addresses",
            "answer by organisations",
            ORGANISATION_SIZES,
            "organisations",
            "us",
            by_organisations,
        ),
    ]


def measure_placement() -> list[Series]:
    """Measure placing one role by hosts."""

    def cost(size: int) -> float:
        roster = make_roster(size)
        return time_call_us(lambda: find_role_holder(roster, "limit/o1/0"), calls=20)

    return [
        _measure_series("membership", "place a role", HOST_SIZES, "hosts", "us", cost)
    ]


def measure_leases() -> list[Series]:
    """Measure one decision on the lease and on the fence by hosts."""

    def lease(size: int) -> float:
        roster, statuses = make_roster(size), make_statuses(size)
        versions = Versions(configuration=1, roster=size)
        return time_call_us(
            lambda: decide_lease(
                own_host=roster.hosts[HostId("h0")],
                effective_versions=versions,
                observed_configuration=None,
                observed_roster=None,
                roster=roster,
                statuses=statuses,
                lease_s=LEASE_S,
                now_s=NOW_S,
            ),
            calls=5,
        )

    def fence(size: int) -> float:
        roster, statuses = make_roster(size), make_statuses(size)
        return time_call_us(
            lambda: advance_fence(
                Fence(),
                own_host=roster.hosts[HostId("h0")],
                roster=roster,
                statuses=statuses,
                lease_s=LEASE_S,
                drift_margin_s=DRIFT_MARGIN_S,
                now_s=NOW_S,
            ),
            calls=5,
        )

    return [
        _measure_series(
            "membership", "decide the lease", HOST_SIZES, "hosts", "us", lease
        ),
        _measure_series(
            "membership", "advance the fence", HOST_SIZES, "hosts", "us", fence
        ),
    ]


def measure_statuses() -> list[Series]:
    """Measure taking in the statuses of all hosts by hosts."""

    def cost(size: int) -> float:
        aged = make_aged_statuses(make_statuses(size), now_s=NOW_S)
        return time_call_us(
            lambda: receive_statuses(HostStatuses(), aged, sent_at_s=NOW_S)
        )

    return [
        _measure_series("membership", "merge statuses", HOST_SIZES, "hosts", "us", cost)
    ]


def _measure_series(
    role: str,
    what: str,
    sizes: tuple[int, ...],
    size_unit: str,
    cost_unit: str,
    measure: Callable[[int], float],
) -> Series:
    points = tuple(Point(size=size, cost=measure(size)) for size in sizes)
    return Series(
        role=role, what=what, size_unit=size_unit, cost_unit=cost_unit, points=points
    )


def _measure_memory_kb(build: Callable[[], object]) -> float:
    tracemalloc.start()
    try:
        kept = build()
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return used / BYTES_PER_KB


def _answer_query(hosts: list[Host], organisation: str) -> None:
    question = AddressQuery(
        organisation=OrganisationName(organisation),
        rate_per_s=50.0,
        local_domain=DomainName("d0"),
        caller=organisation,
    )
    list_addresses(hosts, question, lifetime_s=10.0)
