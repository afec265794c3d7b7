"""Ask a hub that does not answer, with deadlines near and far."""

from attrs import define, field

from snipespring.blackboard import Board
from snipespring.blackboard.regions import DOMAIN_HUBS
from snipespring.controllers import AdmissionAsker, Granter, MetricsRecorder
from snipespring.records import (
    Address,
    DomainHubs,
    DomainMessage,
    DomainName,
    HostId,
    Incarnation,
    OrganisationName,
    OrganisationUsage,
    PublishedHost,
)
from snipespring.settings import GatewayLimitSettings
from snipespring.utils import ManualClock

USAGE = OrganisationUsage(organisation=OrganisationName("valeters"))


@define(kw_only=True, eq=False)
class LostDatagrams:
    """Record the messages of a host and deliver none."""

    sent: list[DomainMessage] = field(factory=list)

    def send(self, address: Address, message: DomainMessage) -> None:
        self.sent.append(message)

    def send_all(self, addresses: tuple[Address, ...], message: DomainMessage) -> None:
        self.sent += [message] * len(addresses)


def make_host(number: int) -> PublishedHost:
    return PublishedHost(
        host_id=HostId(f"host-{number}"),
        domain=DomainName("d-0"),
        callers=Address(ip=f"10.0.0.{number}", port=80),
        peers=Address(ip=f"10.0.0.{number}", port=7100),
    )


def make_asker(datagrams: LostDatagrams) -> AdmissionAsker:
    board, clock, own_host = Board(), ManualClock(), make_host(1)
    board.write(DOMAIN_HUBS, DomainHubs(hubs=(make_host(2),)), writer="domain_link")
    metrics = MetricsRecorder(board=board)
    return AdmissionAsker(
        board=board,
        clock=clock,
        datagrams=datagrams,
        metrics=metrics,
        granter=Granter(
            board=board,
            clock=clock,
            datagrams=datagrams,
            metrics=metrics,
            limits=GatewayLimitSettings(),
            own_host=own_host,
        ),
        own_host=own_host,
        incarnation=Incarnation("first"),
    )


def count_queries(
    asker: AdmissionAsker, datagrams: LostDatagrams, left_s: float
) -> int:
    before = len(datagrams.sent)
    deadline_at_s = asker.clock.monotonic_s() + left_s
    assert asker.ask(USAGE, priority=0, deadline_at_s=deadline_at_s) is None
    return len(datagrams.sent) - before


def test_request_near_its_deadline_does_not_keep_others_from_the_hub() -> None:
    # Guards against refusals below the limit on a host whose hub answers, but which
    # got a request that had no time to wait for an answer.
    datagrams = LostDatagrams()
    asker = make_asker(datagrams)
    assert count_queries(asker, datagrams, left_s=0.0) > 0
    assert count_queries(asker, datagrams, left_s=10.0) > 0


def test_silent_hub_is_not_asked_for_a_while() -> None:
    # Guards against a wait of each request for a hub that is dead.
    datagrams = LostDatagrams()
    asker = make_asker(datagrams)
    assert count_queries(asker, datagrams, left_s=10.0) > 0
    assert count_queries(asker, datagrams, left_s=10.0) == 0
