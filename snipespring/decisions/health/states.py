"""Combine ejection lists and local avoidance into the states in force."""

from collections.abc import Iterable

from attrs import frozen
from immutables import Map

from ...records import (
    EjectionListCopies,
    LocalHealth,
    ServerAvoided,
    ServerEjected,
    ServerHealthy,
    ServerId,
    ServerOnTrial,
    ServerState,
    ServerStates,
)
from .ejection_lists import effective_states

__all__ = ["StateChange", "combine_states", "list_changes"]

HEALTHY = ServerHealthy()


@frozen(kw_only=True)
class StateChange:
    """Name a server whose state changed, with the evidence."""

    server: ServerId
    state: ServerState
    evidence: str


def combine_states(
    lists: EjectionListCopies, local: LocalHealth, now_s: float
) -> ServerStates:
    """Return every state in force; the fleet's list goes before local avoidance."""
    states: dict[ServerId, ServerState] = {
        server: ServerAvoided(reason=avoidance.reason)
        for server, avoidance in local.avoided.items()
    }
    for held in lists.by_service.values():
        states |= effective_states(held, now_s)
    return ServerStates(by_server=Map(states))


def list_changes(
    old: ServerStates, new: ServerStates, lists: EjectionListCopies, now_s: float
) -> Iterable[StateChange]:
    """Yield the servers whose state changed in kind or share."""
    for server in sorted({*old.by_server, *new.by_server}):
        before = old.by_server.get(server, HEALTHY)
        after = new.by_server.get(server, HEALTHY)
        if _is_same(before, after):
            continue
        evidence = f"{server.address}: {_explain(before, after, lists, server, now_s)}"
        yield StateChange(server=server, state=after, evidence=evidence)


def _is_same(before: ServerState, after: ServerState) -> bool:
    match before, after:
        case ServerOnTrial(share=old_share), ServerOnTrial(share=new_share):
            return old_share == new_share
        case _:
            return type(before) is type(after)


def _explain(
    before: ServerState,
    after: ServerState,
    lists: EjectionListCopies,
    server: ServerId,
    now_s: float,
) -> str:
    match before, after:
        case _, ServerEjected(reason=reason) | ServerAvoided(reason=reason):
            return reason
        case _, ServerOnTrial(share=share):
            return f"trial with {share:.0%} of its work; ejected for: " + _reason(
                lists, server
            )
        case ServerAvoided(), ServerHealthy():
            return "avoidance ended"
        case _, ServerHealthy():
            held = lists.by_service.get(server.service)
            if held is None or now_s >= held.until_s:
                return "the copy of the ejection list expired without a renewal"
            return "passed its trial, or its place was needed to keep the floor"
    raise AssertionError("the match above is exhaustive")


def _reason(lists: EjectionListCopies, server: ServerId) -> str:
    held = lists.by_service.get(server.service)
    entries = held.on_trial if held is not None else ()
    return next((entry.reason for entry in entries if entry.server == server), "")
