"""Translate between HTTP and the records of a backend server's stand-in."""

import hashlib
import socket
from typing import Any

from attrs import asdict, define, field

from ..http import (
    CloseConnection,
    Header,
    Reply,
    Request,
    Response,
    TruncatedResponse,
    json_response,
)
from . import decisions
from .controller import BackendController
from .records import (
    Abandoned,
    BackendSettings,
    Completed,
    ErrorAnswers,
    Failed,
    FaultMode,
    Flapping,
    LateAnswers,
    Load,
    Mismatched,
    MismatchedAnswers,
    NoFault,
    Outcome,
    RefusedWork,
    Shed,
    SlowWork,
    StalledWork,
    Truncated,
    TruncatedAnswers,
    WorkRequest,
)

__all__ = ["BackendApplication"]

CONTROL_PREFIX = "/-/"
MS_PER_S = 1000
BODY_PATTERN = bytes(range(251))
MISMATCHED_REQUEST_ID = "foreign-request"
MISMATCHED_BODY = b"answer to another request"
RETRY_AFTER_S = "0.05"


@define(kw_only=True, eq=False)
class BackendApplication:
    """Answer work requests, health probes and control calls for one server."""

    settings: BackendSettings
    controller: BackendController = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the controller."""
        self.controller = BackendController(settings=self.settings)

    def connect(self) -> bool:
        """Admit a connection if it is within the limit."""
        return self.controller.connect()

    def disconnect(self) -> None:
        """Stop counting an admitted connection, which was closed."""
        self.controller.disconnect()

    def accepts_body(self, target: str) -> bool:
        """Return whether the body of a request may be read."""
        is_control = target.startswith(CONTROL_PREFIX)
        return is_control or decisions.accepts_work(self.controller.state())

    def answer(self, req: Request, conn: socket.socket) -> Reply:
        """Return the reply; raise ValueError or KeyError for a malformed request."""
        if req.target.startswith(CONTROL_PREFIX):
            return self._handle_control(req, conn)
        normal = self._make_response(req)
        outcome = self.controller.perform(_decode_work(req), conn)
        return self._encode_outcome(outcome, req, normal)

    def _handle_control(self, req: Request, conn: socket.socket) -> Reply:
        match (req.method, req.path):
            case ("GET", "/-/runs"):
                runs = sorted(self.controller.state().runs.items())
                return json_response([asdict(run) for _, run in runs])
            case ("GET", "/-/load"):
                return json_response(asdict(self._read_load()))
            case ("GET", "/-/health"):
                ok = Response(status=200, body=b"ok")
                return self._encode_outcome(self.controller.probe(conn), req, ok)
            case ("POST", "/-/secrets"):
                self.controller.set_secrets(tuple(map(str, req.json())))
            case ("POST", "/-/drain"):
                self.controller.set_draining(True)
            case ("POST", "/-/undrain"):
                self.controller.set_draining(False)
            case ("POST", "/-/faults"):
                self.controller.set_mode(_decode_mode(req.json_object()))
            case _:
                return Response(status=404)
        return Response(status=200)

    def _read_load(self) -> Load:
        return decisions.make_load(self.controller.state())

    def _encode_outcome(
        self, outcome: Outcome, req: Request, normal: Response
    ) -> Reply:
        request_id = req.header("Request-Id")
        match outcome:
            case Completed():
                return self._add_load(normal, request_id)
            case Failed():
                failed = Response(status=500, body=b"error\n")
                return self._add_load(failed, request_id)
            case Truncated():
                response = self._add_load(normal, request_id)
                return TruncatedResponse(response=response)
            case Mismatched():
                mismatched = Response(status=200, body=MISMATCHED_BODY)
                return self._add_load(mismatched, MISMATCHED_REQUEST_ID)
            case Shed():
                return self._add_load(_make_shed_response(), request_id)
            case Abandoned():
                return CloseConnection()

    def _add_load(self, response: Response, request_id: str) -> Response:
        headers = (*response.headers, _encode_load(self._read_load()))
        if request_id:
            headers = (Header(name="Request-Id", value=request_id), *headers)
        return Response(status=response.status, headers=headers, body=response.body)

    def _make_response(self, req: Request) -> Response:
        if req.has_query("size"):
            return Response(status=200, body=_make_body(int(req.query("size"))))
        return json_response(
            {
                "server": self.settings.server,
                "service": self.settings.service,
                "method": req.method,
                "path": req.path,
                "body_length": len(req.body),
                "body_sha256": hashlib.sha256(req.body).hexdigest(),
                "organisation": req.header("Organisation"),
                "headers": {h.name.lower(): h.value for h in req.headers},
            }
        )


def _make_body(size_bytes: int) -> bytes:
    if size_bytes < 0:
        raise ValueError("size is negative")
    repetitions = size_bytes // len(BODY_PATTERN) + 1
    return (BODY_PATTERN * repetitions)[:size_bytes]


def _make_shed_response() -> Response:
    headers = (
        Header(name="Shed", value="not-run"),
        Header(name="Retry-After", value=RETRY_AFTER_S),
    )
    return Response(status=503, headers=headers)


def _encode_load(load: Load) -> Header:
    value = f"busy={load.busy}; slots={load.slots}; draining={int(load.draining)}"
    return Header(name="Load", value=value)


def _decode_work(req: Request) -> WorkRequest:
    deadline_ms = req.header("Deadline-Ms")
    return WorkRequest(
        request_id=req.header("Request-Id"),
        idempotency_key=req.header("Idempotency-Key"),
        method=req.method,
        path=req.path,
        organisation=req.header("Organisation"),
        body_sha256=hashlib.sha256(req.body).hexdigest(),
        searched_texts=(req.target, *(f"{h.name}: {h.value}" for h in req.headers)),
        timeout_s=float(deadline_ms) / MS_PER_S if deadline_ms else None,
    )


def _decode_mode(content: dict[str, Any]) -> FaultMode:
    match content["mode"]:
        case "ok":
            return NoFault()
        case "stall":
            return StalledWork()
        case "errors":
            return ErrorAnswers(share=float(content["share"]))
        case "slow":
            return SlowWork(factor=float(content["factor"]))
        case "flap":
            return Flapping(period_s=_check_positive(float(content["period_s"])))
        case "late":
            return LateAnswers(delay_s=float(content["delay_s"]))
        case "truncate":
            return TruncatedAnswers()
        case "foreign":
            return MismatchedAnswers()
        case "refuse":
            return RefusedWork()
        case unknown:
            raise ValueError(f"unknown mode {unknown!r}")


def _check_positive(value: float) -> float:
    if value <= 0:
        raise ValueError(f"{value} is not positive")
    return value
