from attrs import evolve

from snipespring.decisions.health import add_report, create_pool, evaluate_pool
from snipespring.records import (
    Address,
    DomainName,
    EjectQuickly,
    EvidencePool,
    EvidenceReport,
    Histogram,
    HostId,
    Incarnation,
    OutcomeCounts,
    ServerId,
    ServerReport,
    ServiceName,
    ServiceRule,
    Tenure,
)

SERVICE = ServiceName("ledger")
RULE = ServiceRule(name=SERVICE, floor=0.6, ejection=EjectQuickly(), asked_by="Aoife")
FAST_BUCKET = 15
SLOW_BUCKET = 30


def make_server(number: int) -> ServerId:
    return ServerId(service=SERVICE, address=Address(ip="10.0.0.1", port=number))


SERVERS = tuple(make_server(number) for number in range(6))


def count_answers(count: int, bucket: int = FAST_BUCKET) -> OutcomeCounts:
    return OutcomeCounts(answered=Histogram(first=bucket, counts=(count,)))


def make_report(
    host: int, sequence: int, counts: dict[ServerId, OutcomeCounts]
) -> EvidenceReport:
    return EvidenceReport(
        sender=HostId(f"host-{host}"),
        incarnation=Incarnation("1"),
        sequence=sequence,
        domain=DomainName(f"domain-{host % 3}"),
        service=SERVICE,
        servers=tuple(
            ServerReport(server=server, counts=held, under_way=Histogram())
            for server, held in counts.items()
        ),
    )


def evaluate_rounds(
    rounds: list[dict[int, dict[ServerId, OutcomeCounts]]],
    *,
    rule: ServiceRule = RULE,
    step_s: float = 0.25,
) -> EvidencePool:
    """Judge a pool after each round of cumulative reports by host."""
    pool = create_pool(Tenure(version=1, lease_until_s=1e9), 0.0)
    for sequence, reports in enumerate(rounds, start=1):
        now_s = sequence * step_s
        for host, counts in reports.items():
            pool = add_report(pool, make_report(host, sequence, counts), now_s)
        pool = evaluate_pool(pool, rule, frozenset(SERVERS), now_s=now_s)
    return pool


def add_errors(counts: OutcomeCounts, errors: int) -> OutcomeCounts:
    return evolve(counts, errors=errors)
