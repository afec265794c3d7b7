"""Translate between HTTP and the records of the platform's stand-in."""

import socket
from typing import Any

from attrs import asdict, define, field

from ..http import CloseConnection, Header, Reply, Request, Response, json_response
from .controller import PlatformController
from .records import (
    Absent,
    Away,
    Call,
    Conflict,
    DeleteObject,
    Faults,
    Found,
    HostNames,
    ListHosts,
    Listing,
    ListObjects,
    Mode,
    NoAnswer,
    Outcome,
    ReadObject,
    Slow,
    TooLarge,
    Unchanged,
    Up,
    WatchObject,
    WriteObject,
    Written,
)

__all__ = ["PlatformApplication"]

OBJECTS = "/objects/"
DEFAULT_WATCH_S = "30"


@define(kw_only=True, eq=False)
class PlatformApplication:
    """Answer the object API, the host list and the control calls."""

    _controller: PlatformController = field(factory=PlatformController)

    def connect(self) -> bool:
        """Admit every connection."""
        return True

    def disconnect(self) -> None:
        """Release nothing."""

    def accepts(self, target: str) -> bool:
        """Accept every request."""
        return True

    def answer(self, req: Request, conn: socket.socket) -> Reply:
        """Return the reply; raise ValueError for a malformed request."""
        if req.path.startswith("/control/"):
            return self._control(req)
        call = _decode_call(req)
        if call is None:
            return Response(status=404)
        return _encode_outcome(self._controller.call(call))

    def _control(self, req: Request) -> Reply:
        match (req.method, req.path):
            case ("GET", "/control/counts"):
                return json_response(asdict(self._controller.state().counts))
            case ("POST", "/control/faults"):
                self._controller.set_faults(_decode_faults(req.json_object()))
            case ("PUT", "/control/hosts"):
                self._set_hosts(req)
            case _:
                return Response(status=404)
        return Response(status=200)

    def _set_hosts(self, req: Request) -> None:
        content = req.json()
        lag_s = req.query("lag_s", "0")
        if isinstance(content, dict):
            lag_s = content.get("lag_s", lag_s)
            content = content["hosts"]
        self._controller.set_hosts(tuple(map(str, content)), lag_s=float(lag_s))


def _decode_call(req: Request) -> Call | None:
    name = req.path.removeprefix(OBJECTS)
    if req.method == "GET" and req.path == "/hosts":
        return ListHosts()
    if req.method == "GET" and req.path == "/objects":
        return ListObjects(prefix=req.query("prefix"))
    if not req.path.startswith(OBJECTS) or not name:
        return None
    match req.method:
        case "GET" if req.has_query("watch"):
            return _decode_watch(req, name)
        case "GET":
            return ReadObject(name=name)
        case "PUT":
            expected = int(req.header("If-Version"))
            return WriteObject(name=name, if_version=expected, value=req.body)
        case "DELETE":
            return DeleteObject(name=name, if_version=int(req.header("If-Version")))
        case _:
            return None


def _decode_watch(req: Request, name: str) -> WatchObject:
    return WatchObject(
        name=name,
        after_version=int(req.query("watch")),
        wait_s=float(req.query("wait_s", DEFAULT_WATCH_S)),
    )


def _decode_faults(content: dict[str, Any]) -> Faults:
    return Faults(
        mode=_decode_mode(content), lose_answers=int(content.get("lose_answers", 0))
    )


def _decode_mode(content: dict[str, Any]) -> Mode:
    match content.get("mode", "up"):
        case "up":
            return Up()
        case "away":
            return Away()
        case "slow":
            return Slow(delay_s=float(content["delay_s"]))
        case unknown:
            raise ValueError(f"unknown mode {unknown!r}")


def _encode_outcome(outcome: Outcome) -> Reply:
    match outcome:
        case Found(version=version, value=value):
            return Response(status=200, headers=_version(version), body=value)
        case Absent(version=version):
            return Response(status=404, headers=_version(version))
        case Unchanged():
            return Response(status=304)
        case Written(version=version):
            return Response(status=200, headers=_version(version))
        case Conflict(version=version):
            return Response(status=409, headers=_version(version))
        case TooLarge():
            return Response(status=413)
        case Listing(entries=entries):
            return json_response([asdict(entry) for entry in entries])
        case HostNames(names=names):
            return json_response(list(names))
        case NoAnswer():
            return CloseConnection()


def _version(version: int) -> tuple[Header, ...]:
    return (Header(name="Version", value=str(version)),)
