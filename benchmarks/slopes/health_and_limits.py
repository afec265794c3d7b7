"""Measure the series of evidence and limits on the project's own code."""

import tracemalloc

from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import FENCE, LEASE, ROSTER
from snipespring.controllers import ShareManager
from snipespring.decisions.health import (
    add_report,
    evaluate_pool,
    policy_of,
    renew_pool,
)
from snipespring.decisions.limits import peer_of
from snipespring.records import (
    Address,
    DomainName,
    EjectCarefully,
    EvidencePool,
    EvidenceReport,
    Fence,
    HostId,
    Incarnation,
    LeaseHeld,
    OrganisationName,
    OrganisationRule,
    OutcomeCounts,
    Roster,
    ServerId,
    ServerReport,
    ServiceName,
    ServiceRule,
)
from snipespring.records.health import Histogram
from snipespring.utils import ManualClock

from .fit import Point, Series, time_call_us
from .inputs import make_roster

__all__ = ["measure_evidence", "measure_limits"]

SERVER_SIZES = (15, 30, 60, 120)
ACCOUNT_SIZES = (125, 250, 500, 1000)
SERVICE = ServiceName("s")
BYTES_PER_KB = 1000.0
LEASE_END_S = 1e9


def measure_evidence() -> list[Series]:
    """Measure taking in one report and judging one service by its servers."""
    absorbed = tuple(Point(size=n, cost=_time_report_us(n)) for n in SERVER_SIZES)
    judged = tuple(Point(size=n, cost=_time_evaluation_us(n)) for n in SERVER_SIZES)
    return [
        _make_series("health", "take in a report", "servers", "us", absorbed),
        _make_series("health", "judge a service", "servers", "us", judged),
    ]


def measure_limits() -> list[Series]:
    """Measure one payment and the memory of accounts by organisations."""
    paid = tuple(Point(size=n, cost=_time_payment_us(n)) for n in ACCOUNT_SIZES)
    kept = tuple(Point(size=n, cost=_measure_accounts_kb(n)) for n in ACCOUNT_SIZES)
    return [
        _make_series("limits", "pay for a request", "organisations", "us", paid),
        _make_series("limits", "memory", "organisations", "KB", kept),
    ]


def _make_series(
    role: str, what: str, size_unit: str, cost_unit: str, points: tuple[Point, ...]
) -> Series:
    return Series(
        role=role, what=what, size_unit=size_unit, cost_unit=cost_unit, points=points
    )


def _time_report_us(servers: int) -> float:
    pool = add_report(_make_pool(), _make_report(servers, 1), 1000.0)
    report = _make_report(servers, 2)
    return time_call_us(lambda: add_report(pool, report, 1000.25), calls=10)


def _time_evaluation_us(servers: int) -> float:
    pool = add_report(_make_pool(), _make_report(servers, 1), 1000.0)
    pool = add_report(pool, _make_report(servers, 2), 1000.25)
    service = ServiceRule(name=SERVICE, asked_by="benchmark")
    names = frozenset(_make_server_id(n) for n in range(servers))
    policy = policy_of(EjectCarefully())
    return time_call_us(
        lambda: evaluate_pool(pool, service, names, policy=policy, now_s=1000.5),
        calls=5,
    )


def _make_pool() -> EvidencePool:
    roster = make_roster(1)
    pool = renew_pool(
        None,
        own_host=roster.hosts[HostId("h0")],
        service=SERVICE,
        roster=roster,
        lease=LeaseHeld(until_s=LEASE_END_S),
        now_s=1000.0,
    )
    if pool is None:
        raise ValueError("the only host does not hold the service")
    return pool


def _make_report(servers: int, sequence: int) -> EvidenceReport:
    return EvidenceReport(
        sender=HostId("h0"),
        incarnation=Incarnation("1"),
        sequence=sequence,
        domain=DomainName("d0"),
        service=SERVICE,
        servers=tuple(_make_server_report(n, sequence) for n in range(servers)),
    )


def _make_server_report(n: int, sequence: int) -> ServerReport:
    return ServerReport(
        server=_make_server_id(n),
        counts=OutcomeCounts(errors=sequence, broken=sequence),
        under_way=Histogram(),
    )


def _make_server_id(n: int) -> ServerId:
    address = Address(ip=f"10.0.{n // 256}.{n % 256}", port=9001)
    return ServerId(service=SERVICE, address=address)


def _make_share_manager() -> ShareManager:
    board = Board()
    roster = make_roster(1)
    own = roster.hosts[HostId("h0")]
    held = Roster(version=1, hosts=Map({own.host_id: own}))
    board.write(ROSTER, held, writer=ROSTER.writer)
    board.write(LEASE, LeaseHeld(until_s=LEASE_END_S), writer=LEASE.writer)
    board.write(FENCE, Fence(version=1), writer=FENCE.writer)
    return ShareManager(board=board, clock=ManualClock(), own_peer=peer_of(own))


def _make_organisation_rule(n: int) -> OrganisationRule:
    return OrganisationRule(
        name=OrganisationName(f"o{n}"), rate_per_s=50.0, burst=100.0, asked_by="bench"
    )


def _pay_all(share_manager: ShareManager, organisations: int) -> None:
    for n in range(organisations):
        share_manager.pay(_make_organisation_rule(n))


def _time_payment_us(organisations: int) -> float:
    book = _make_share_manager()
    _pay_all(book, organisations)
    return time_call_us(lambda: _pay_all(book, organisations)) / organisations


def _measure_accounts_kb(organisations: int) -> float:
    tracemalloc.start()
    try:
        book = _make_share_manager()
        _pay_all(book, organisations)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del book
    return used / BYTES_PER_KB
