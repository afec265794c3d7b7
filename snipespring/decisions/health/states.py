"""Combine ejection lists and local avoidance into the effective server states."""

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
    """Represent a change of a server's state and the evidence for it."""

    server: ServerId
    state: ServerState
    evidence: str


def combine_states(
    lists: EjectionListCopies, local_health: LocalHealth, now_s: float
) -> ServerStates:
    """Return all effective states; ejection lists override local avoidance."""
    states: dict[ServerId, ServerState] = {
        server: ServerAvoided(reason=avoidance.reason)
        for server, avoidance in local_health.avoided.items()
    }
    for list_copy in lists.by_service.values():
        states |= effective_states(list_copy, now_s)
    return ServerStates(by_server=Map(states))


def list_changes(
    old: ServerStates, new: ServerStates, lists: EjectionListCopies, now_s: float
) -> Iterable[StateChange]:
    """Yield the servers whose state or trial share changed."""
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
            return (
                f"on trial with {share:.0%} of its requests; ejected for: "
                + _reason(lists, server)
            )
        case ServerAvoided(), ServerHealthy():
            return "avoidance ended"
        case _, ServerHealthy():
            list_copy = lists.by_service.get(server.service)
            if list_copy is None or now_s >= list_copy.until_s:
                return "the copy of the ejection list expired without renewal"
            return "passed its trial, or was released to satisfy the floor"
    raise AssertionError("the match above is exhaustive")


def _reason(lists: EjectionListCopies, server: ServerId) -> str:
    list_copy = lists.by_service.get(server.service)
    entries = list_copy.on_trial if list_copy is not None else ()
    return next((entry.reason for entry in entries if entry.server == server), "")
