from random import Random

from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import CONFIGURATION, SERVER_LOADS, SERVER_SUBSETS
from snipespring.controllers import Dispatcher, SubsetSelector
from snipespring.records import (
    Address,
    Configuration,
    Host,
    HostId,
    Incarnation,
    ServerLoad,
    ServerLoads,
    ServerRule,
)
from snipespring.utils import ManualClock

from .routing_fakes import LOCAL_DOMAIN, SERVICE, ScriptedTransport, make_server_id

ADDRESS = Address(ip="127.0.0.1", port=1)
OWN_HOST = Host(
    host_id=HostId("host-0"),
    incarnation=Incarnation("1"),
    domain=LOCAL_DOMAIN,
    callers=ADDRESS,
    peers=ADDRESS,
    operators=ADDRESS,
)


def make_configuration(count: int) -> Configuration:
    rules = tuple(
        ServerRule(
            server=make_server_id(number), domain=LOCAL_DOMAIN, asked_by="a test"
        )
        for number in range(count)
    )
    return Configuration(
        services=Map({SERVICE.name: SERVICE}), servers=Map({SERVICE.name: rules})
    )


def test_servers_that_left_the_rules_are_forgotten() -> None:
    board, clock, transport = Board(), ManualClock(), ScriptedTransport()
    keeper = SubsetSelector(
        board=board, clock=clock, transport=transport, own_host=OWN_HOST
    )
    dispatcher = Dispatcher(board=board, clock=clock, rng=Random(1), max_queued=4)
    loads = {
        make_server_id(0): ServerLoad(),
        make_server_id(1): ServerLoad(in_flight=1),
    }
    loads[make_server_id(2)] = ServerLoad()
    held = ServerLoads(by_server=Map(loads))
    board.write(SERVER_LOADS, held, writer="dispatcher")
    board.write(CONFIGURATION, make_configuration(1), writer="configurator")
    keeper.step()
    dispatcher.step()
    members = board.read(SERVER_SUBSETS).by_service[SERVICE.name].members
    assert [member.rule.server for member in members] == [make_server_id(0)]
    assert transport.kept_addresses == {make_server_id(0).address}
    assert set(board.read(SERVER_LOADS).by_server) == {
        make_server_id(0),
        make_server_id(1),
    }
