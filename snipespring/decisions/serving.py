"""Decide whether a host takes new requests."""

from collections.abc import Mapping

from attrs import frozen

from ..records import (
    Configuration,
    LeaseHeld,
    LeaseLapsed,
    LeaseState,
    Leaving,
    ServerSubset,
    ServiceName,
    Serving,
    StopState,
)

__all__ = ["ServingConditions", "is_serving"]


@frozen(kw_only=True)
class ServingConditions:
    """Hold what decides whether a host serves.

    `has_servers` tells that the servers were listed since the start, `subsets`
    which of them the host has chosen.
    """

    stop: StopState
    configuration: Configuration
    lease: LeaseState
    has_servers: bool
    subsets: Mapping[ServiceName, ServerSubset]


def is_serving(conditions: ServingConditions, now_s: float) -> bool:
    """Return whether the host knows where to send requests, may, and stays."""
    match conditions.stop, conditions.lease:
        case Leaving(), _:
            return False
        case Serving(), LeaseHeld(until_s=until_s):
            return now_s < until_s and _has_chosen_servers(conditions)
        case Serving(), LeaseLapsed():
            return False


def _has_chosen_servers(state: ServingConditions) -> bool:
    if state.configuration.version == 0 or not state.has_servers:
        return False
    chosen = (state.subsets.get(name) for name in state.configuration.servers)
    return all(subset is not None and subset.members for subset in chosen)
