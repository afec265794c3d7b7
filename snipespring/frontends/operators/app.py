"""Serve operators: metrics, state dump, status and events."""

import json
from collections.abc import Iterable

from attrs import define

from ...blackboard import Board
from ...blackboard.regions import (
    CONFIGURATION,
    COUNTERS,
    EVENTS,
    HOST_STATUSES,
    LEASE,
    ROSTER,
    STOP_STATE,
)
from ..http_server import Environ, StartResponse
from .dump import dump_board, dump_record

__all__ = ["OperatorsApp"]

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@define(kw_only=True, eq=False)
class OperatorsApp:
    """Serve read-only views of the blackboard."""

    board: Board

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        status, kind, body = self._answer(environ["PATH_INFO"])
        start_response(
            status, [("Content-Type", kind), ("Content-Length", str(len(body)))]
        )
        return [body]

    def _answer(self, path: str) -> tuple[str, str, bytes]:
        match path:
            case "/metrics":
                # Not at the top, since its import would delay each start of a host.
                from .metrics import render_metrics

                content = render_metrics(self.board.read(COUNTERS), ())
                return "200 OK", TEXT_TYPE, content
            case "/dump":
                return "200 OK", JSON_TYPE, dump_board(self.board)
            case "/events":
                events = dump_record(self.board.read(EVENTS).latest)
                return "200 OK", JSON_TYPE, json.dumps(events).encode()
            case "/status":
                return "200 OK", JSON_TYPE, self._status()
            case _:
                return "404 Not Found", "text/plain", b"no such page\n"

    def _status(self) -> bytes:
        status = {
            "configuration": self.board.read(CONFIGURATION).version,
            "roster": dump_record(self.board.read(ROSTER)),
            "lease": dump_record(self.board.read(LEASE)),
            "stop": dump_record(self.board.read(STOP_STATE)),
            "hosts": dump_record(self.board.read(HOST_STATUSES).by_host),
        }
        return json.dumps(status).encode()
