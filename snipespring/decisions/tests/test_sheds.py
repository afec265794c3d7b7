from snipespring.decisions.sheds import (
    blames_server,
    is_shed_with_free_slots,
    record_shed,
)
from snipespring.records import (
    Address,
    AnswerLog,
    ReportedLoad,
    ServerId,
    ServerNotices,
    ServiceName,
    ShedByServer,
)

SERVERS = tuple(
    ServerId(
        service=ServiceName("ledger"),
        address=Address(ip="10.0.0.1", port=number + 1),
        instance=f"s-{number}",
    )
    for number in range(54)
)


def record(counts: dict[int, int]) -> AnswerLog:
    log = AnswerLog()
    for number, count in counts.items():
        for _ in range(count):
            log = record_shed(log, SERVERS[number], now_s=10.0)
    return log


def test_server_that_sheds_alone_is_blamed_until_its_sheds_are_old() -> None:
    """Guard against a gray server that refuses for a long time without suspicion."""
    log = record({0: 2})
    assert blames_server(log, SERVERS[0], SERVERS, now_s=10.5)
    assert not blames_server(log, SERVERS[0], SERVERS, now_s=13.5)
    assert not blames_server(record({0: 1}), SERVERS[0], SERVERS, now_s=10.5)


def test_no_server_is_blamed_when_the_whole_service_sheds() -> None:
    """Guard against suspecting every server of a service that refuses as a whole."""
    log = record(dict.fromkeys(range(30), 2))
    assert not any(blames_server(log, s, SERVERS, now_s=10.5) for s in SERVERS)


def test_only_server_of_a_service_is_not_blamed() -> None:
    """Guard against suspecting the one server that could answer."""
    log = record({0: 2})
    assert not blames_server(log, SERVERS[0], SERVERS[:1], now_s=10.5)
    assert blames_server(log, SERVERS[0], SERVERS[:2], now_s=10.5)


def test_shed_for_a_stated_reason_is_no_evidence() -> None:
    """Guard against suspecting servers that drain, are full or name a limit."""
    free = ReportedLoad(busy=1, slots=3)
    assert is_shed_with_free_slots(ShedByServer(retry_after_s=None, load=free))
    for shed in (
        ShedByServer(retry_after_s=None),
        ShedByServer(retry_after_s=None, load=ReportedLoad(busy=3, slots=3)),
        ShedByServer(
            retry_after_s=None, load=ReportedLoad(busy=1, slots=3, draining=True)
        ),
        ShedByServer(
            retry_after_s=None, load=free, notices=ServerNotices(limit_per_s=2.0)
        ),
    ):
        assert not is_shed_with_free_slots(shed)
