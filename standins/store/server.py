"""Translate between HTTP and the records of the store's stand-in."""

import socket
from typing import Any

from attrs import asdict, define, evolve, field

from ..http import CloseConnection, Header, Reply, Request, Response, json_response
from .controller import StoreController
from .records import (
    CreateObject,
    DeleteObject,
    ListObjects,
    LostAnswers,
    NoFault,
    ObjectKey,
    ReadObject,
    ReplaceObject,
    SlowAnswers,
    StoreCall,
    StoreFault,
    Unavailable,
    WatchObjects,
)

__all__ = ["StoreApplication"]

ERA_HEADER = "Store-Era"
OBJECTS_PREFIX = "/v1/objects/"
MS_PER_S = 1000.0


@define(kw_only=True, eq=False)
class StoreApplication:
    """Answer object calls and control calls."""

    controller: StoreController = field(factory=StoreController)

    def connect(self) -> bool:
        """Admit every connection."""
        return True

    def disconnect(self) -> None:
        """Do nothing, as connections are not counted."""

    def accepts_body(self, target: str) -> bool:
        """Accept every request."""
        return True

    def answer(self, req: Request, conn: socket.socket) -> Reply:
        """Return the reply; raise ValueError or KeyError for a malformed request."""
        if req.path.startswith("/control/"):
            return self._handle_control(req)
        call = _decode_call(req)
        if call is None:
            return Response(status=404)
        answer = self.controller.call(call)
        if answer is None:
            return CloseConnection()
        if answer.content is None:
            reply = Response(status=answer.status)
        else:
            reply = json_response(answer.content, status=answer.status)
        era = Header(name=ERA_HEADER, value=str(answer.era))
        return evolve(reply, headers=(*reply.headers, era))

    def _handle_control(self, req: Request) -> Reply:
        match (req.method, req.path):
            case ("GET", "/control/counts"):
                return json_response(asdict(self.controller.state().counts))
            case ("POST", "/control/faults"):
                self.controller.set_fault(_decode_fault(req.json_object()))
                return Response(status=200)
            case ("POST", "/control/backup"):
                self.controller.back_up()
                return Response(status=200)
            case ("POST", "/control/restore"):
                self.controller.restore()
                return Response(status=200)
            case _:
                return Response(status=404)


def _decode_fault(content: dict[str, Any]) -> StoreFault:
    match content.get("mode", "up"):
        case "up":
            return NoFault()
        case "away":
            return Unavailable()
        case "slow":
            return SlowAnswers(delay_s=float(content["delay_s"]))
        case "losing":
            return LostAnswers(remaining_writes=int(content["writes"]))
        case unknown:
            raise ValueError(f"unknown mode {unknown!r}")


def _decode_call(req: Request) -> StoreCall | None:
    if not req.path.startswith(OBJECTS_PREFIX):
        return None
    kind, _, rest = req.path.removeprefix(OBJECTS_PREFIX).partition("/")
    name, _, subresource = rest.partition("/")
    key = ObjectKey(kind=kind, name=name)
    match req.method:
        case "GET" if req.has_query("Watch"):
            return WatchObjects(
                kind=kind,
                after=int(req.query("Watch")),
                wait_s=int(req.query("WaitMs", "0")) / MS_PER_S,
            )
        case "GET" if name:
            return ReadObject(key=key)
        case "GET":
            return ListObjects(kind=kind, after=req.query("after"))
        case "POST":
            body = req.json_object()
            new_key = ObjectKey(kind=kind, name=body["Metadata"]["Name"])
            return CreateObject(key=new_key, spec=body.get("Spec"))
        case "PUT":
            return _decode_replace(
                req.json_object(), key, is_status=subresource == "status"
            )
        case "DELETE":
            revision = req.query("Revision")
            return DeleteObject(
                key=key, expected_revision=int(revision) if revision else None
            )
        case _:
            return None


def _decode_replace(
    body: dict[str, Any], key: ObjectKey, *, is_status: bool
) -> ReplaceObject:
    return ReplaceObject(
        key=key,
        content=body.get("Status" if is_status else "Spec"),
        expected_revision=(body.get("Metadata") or {}).get("Revision"),
        is_status=is_status,
    )
