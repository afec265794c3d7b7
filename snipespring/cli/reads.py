"""Run the commands that read the state of hosts."""

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
    """Represent the HTTP response of a host."""

    status: int
    content: bytes


@frozen(kw_only=True)
class HostUnreachable:
    """Report why a host gave no response."""

    reason: str


def fetch(
    address: str, path: str, *, headers: dict[str, str] | None = None
) -> HostResponse | HostUnreachable:
    """Send a GET request to the host at `address`, given as `ip:port`."""
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
    """Print the complete state of a host."""
    match fetch(command.operators, "/dump"):
        case HostUnreachable(reason=reason):
            return _report_unreachable(reason)
        case HostResponse(content=content):
            print(content.decode())
            return SUCCESS


def explain(command: Explain) -> int:
    """Print the events that mention the subject."""
    match fetch(command.operators, "/events"):
        case HostUnreachable(reason=reason):
            return _report_unreachable(reason)
        case HostResponse(content=content):
            events = json.loads(content)
            subject = command.subject or ""
            matches = [event for event in events if subject in json.dumps(event)]
            for event in matches:
                print(json.dumps(event) if command.json else _format_event(event))
            return SUCCESS if matches else REFUSED


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
    print(f"host unreachable: {reason}", file=sys.stderr)
    return UNREACHABLE


def _print_status(state: dict[str, Any]) -> None:
    lease = state["lease"]
    detail = lease.get("reason", "")
    print(f"configuration {state['configuration']}")
    print(f"roster {state['roster']['version']}")
    print(f"lease {lease['kind']} {detail}".rstrip())
    for host_id, view in sorted(state["hosts"].items()):
        report = view["status"]
        leaving = " leaving" if report["leaving"] else ""
        print(f"host {host_id} configuration {_configuration_version(report)}{leaving}")


def _configuration_version(report: dict[str, Any]) -> int:
    version: int = report["versions"]["configuration"]
    return version


def _format_event(event: dict[str, Any]) -> str:
    kind = event.pop("kind")
    at_s = event.pop("at_wall_s")
    rest = "  ".join(f"{key}={val}" for key, val in event.items())
    return f"{at_s:.3f}  {kind}  {rest}"
