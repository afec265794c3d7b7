from unittest.mock import Mock

from snipespring.blackboard import Board
from snipespring.blackboard.regions import STOP_STATE
from snipespring.daemons.gateway import Gateway
from snipespring.frontends.http_server import HttpServer
from snipespring.records import Leaving, StopState
from snipespring.utils import SystemClock


def test_no_request_begins_after_the_last_look_at_the_connections() -> None:
    # Guards against requests that arrive between that look and the exit, which were
    # passed on and cut (LOST).
    looks: list[StopState] = []

    def look(_: float) -> bool:
        looks.append(board.read(STOP_STATE))
        return True

    board, context = Board(), Mock()
    context.process.board, context.process.clock = board, SystemClock()
    context.settings.stop.grace_s = 0.5
    callers = Mock(spec=HttpServer)
    callers.wait_until_idle.side_effect = look
    gateway = Gateway(
        context=context,
        runner=Mock(),
        domain_link=Mock(),
        links=Mock(),
        callers=callers,
        auxiliary_servers=(),
    )
    gateway.stop()
    match looks:
        case [Leaving(finished=False, until_s=until_s), Leaving(finished=True) as last]:
            assert last.until_s == until_s
        case _:
            raise AssertionError(looks)
