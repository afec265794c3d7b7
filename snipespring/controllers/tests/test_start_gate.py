import threading

from attrs import evolve
from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import CONFIGURATION, LEASE
from snipespring.controllers import StartGate
from snipespring.records import Configuration, DomainName, LeaseHeld, ServerRule
from snipespring.utils import ManualClock

from .routing_fakes import SERVICE, make_server_id

TIMEOUT_S = 30.0


def test_request_during_a_start_waits_for_lease_configuration_and_servers() -> None:
    # Guards against refusing requests just before they can be served.
    board, clock = Board(), ManualClock()
    gate = StartGate(board=board, clock=clock)
    cfg = Configuration(version=3)
    board.write(CONFIGURATION, cfg, writer="configurator")
    gate.step()
    served = threading.Event()

    def wait() -> None:
        gate.wait()
        served.set()

    thread = threading.Thread(target=wait)
    thread.start()
    assert not served.is_set()
    board.write(LEASE, LeaseHeld(until_s=clock.now_s + 4.0), writer="lease_keeper")
    gate.step()
    assert not served.is_set()
    rule = ServerRule(
        server=make_server_id(1), domain=DomainName("a"), asked_by="a test"
    )
    servers = Map({SERVICE.name: (rule,)})
    board.write(CONFIGURATION, evolve(cfg, servers=servers), writer="configurator")
    gate.step()
    thread.join(TIMEOUT_S)
    assert served.is_set()


def test_request_does_not_wait_later_than_the_start() -> None:
    # Guards against holding requests on a host that cannot say when it will serve.
    board, clock = Board(), ManualClock()
    gate = StartGate(board=board, clock=clock)
    clock.advance(60.0)
    gate.wait()
