from random import Random

from immutables import Map

from snipespring.blackboard import Board
from snipespring.blackboard.regions import CONFIGURATION, SERVER_LOADS, SERVER_SUBSETS
from snipespring.controllers import Dispatcher, SubsetKeeper
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

from .routing_fakes import NEAR, SERVICE, ScriptedTransport, server

ADDRESS = Address(ip="127.0.0.1", port=1)
OWN = Host(
    host_id=HostId("host-0"),
    incarnation=Incarnation("1"),
    domain=NEAR,
    callers=ADDRESS,
    peers=ADDRESS,
    operators=ADDRESS,
)


def configuration(count: int) -> Configuration:
    rules = tuple(
        ServerRule(server=server(number), domain=NEAR, asked_by="a test")
        for number in range(count)
    )
    return Configuration(
        services=Map({SERVICE.name: SERVICE}), servers=Map({SERVICE.name: rules})
    )


def test_servers_that_left_the_rules_are_forgotten() -> None:
    board, clock, transport = Board(), ManualClock(), ScriptedTransport()
    keeper = SubsetKeeper(board=board, clock=clock, transport=transport, own=OWN)
    dispatcher = Dispatcher(board=board, clock=clock, rng=Random(1), bound=4)
    loads = {server(0): ServerLoad(), server(1): ServerLoad(in_flight=1)}
    loads[server(2)] = ServerLoad()
    held = ServerLoads(by_server=Map(loads))
    board.write(SERVER_LOADS, held, writer="dispatcher")
    board.write(CONFIGURATION, configuration(1), writer="configurator")
    keeper.step()
    dispatcher.step()
    members = board.read(SERVER_SUBSETS).by_service[SERVICE.name].members
    assert [member.rule.server for member in members] == [server(0)]
    assert transport.kept == {server(0).address}
    assert set(board.read(SERVER_LOADS).by_server) == {server(0), server(1)}
