"""Run the commands that read from hosts."""

import json
import os
import sys
from http.client import HTTPConnection, HTTPException
from typing import Any

from attrs import frozen

from .commands import Addresses, Dump, Explain, Status
from .exits import REFUSED, SUCCESS, UNREACHABLE

__all__ = ["addresses", "dump", "explain", "fetch", "status"]

TIMEOUT_S = 5.0


@frozen(kw_only=True)
class HostResponse:
    """Carry a host's answer."""

    status: int
    content: bytes


@frozen(kw_only=True)
class HostUnreachable:
    """State why a host gave no answer."""

    reason: str


def fetch(
    address: str, path: str, *, headers: dict[str, str] | None = None
) -> HostResponse | HostUnreachable:
    """Return what a host answers to a GET at `ip:port`."""
    ip, _, port = address.rpartition(":")
    try:
        conn = HTTPConnection(ip, int(port), timeout=TIMEOUT_S)
        conn.request("GET", path, headers=headers or {})
        resp = conn.getresponse()
        return HostResponse(status=resp.status, content=resp.read())
    except (OSError, HTTPException, ValueError) as exc:
        return HostUnreachable(reason=f"{address}: {exc}")


def status(command: Status) -> int:
    """Print versions, lease and hosts."""
    match fetch(command.operators, "/status"):
        case HostUnreachable(reason=reason):
            return _report_unreachable(reason)
        case HostResponse(content=content):
            if command.json:
                print(content.decode())
            else:
                _print_status(json.loads(content))
            return SUCCESS


def dump(command: Dump) -> int:
    """Print the whole state of a host."""
    match fetch(command.operators, "/dump"):
        case HostUnreachable(reason=reason):
            return _report_unreachable(reason)
        case HostResponse(content=content):
            print(content.decode())
            return SUCCESS


def explain(command: Explain) -> int:
    """Print the events that name the subject."""
    match fetch(command.operators, "/events"):
        case HostUnreachable(reason=reason):
            return _report_unreachable(reason)
        case HostResponse(content=content):
            events = json.loads(content)
            subject = command.subject or ""
            found = [event for event in events if subject in json.dumps(event)]
            for event in found:
                print(json.dumps(event) if command.json else _format_event(event))
            return SUCCESS if found else REFUSED


def addresses(command: Addresses) -> int:
    """Print the hosts that a caller should use."""
    key = os.environ.get(command.key_env, "")
    headers = {"Api-Key": key} if key else {}
    match fetch(command.host, "/addresses", headers=headers):
        case HostUnreachable(reason=reason):
            return _report_unreachable(reason)
        case HostResponse(content=content):
            if command.json:
                print(content.decode())
                return SUCCESS
            answer = json.loads(content)
            for offer in answer["addresses"]:
                print(f"{offer['address']}  {offer['domain']}")
            print(f"keep for {answer['lifetime_s']:g} s")
            return SUCCESS


def _report_unreachable(reason: str) -> int:
    print(f"out of reach: {reason}", file=sys.stderr)
    return UNREACHABLE


def _print_status(state: dict[str, Any]) -> None:
    lease = state["lease"]
    detail = lease.get("reason", "")
    print(f"configuration {state['configuration']}")
    print(f"roster {state['roster']['version']}")
    print(f"lease {lease['kind']} {detail}".rstrip())
    for host_id, view in sorted(state["hosts"].items()):
        told = view["status"]
        leaving = " leaving" if told["leaving"] else ""
        print(f"host {host_id} configuration {_configuration_version(told)}{leaving}")


def _configuration_version(host_status: dict[str, Any]) -> int:
    version: int = host_status["versions"]["configuration"]
    return version


def _format_event(event: dict[str, Any]) -> str:
    kind = event.pop("kind")
    at_s = event.pop("at_wall_s")
    rest = "  ".join(f"{key}={val}" for key, val in event.items())
    return f"{at_s:.3f}  {kind}  {rest}"
