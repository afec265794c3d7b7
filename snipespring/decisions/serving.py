"""Decide whether a host accepts new requests."""

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
    """Represent what determines whether a host serves.

    `has_servers` is set once the servers have been listed since the start; `subsets`
    contains the servers that the host has chosen.
    """

    stop: StopState
    configuration: Configuration
    lease: LeaseState
    has_servers: bool
    subsets: Mapping[ServiceName, ServerSubset]


def is_serving(conditions: ServingConditions, now_s: float) -> bool:
    """Return whether the host has servers and a lease and is not leaving."""
    match conditions.stop, conditions.lease:
        case Leaving(), _:
            return False
        case Serving(), LeaseHeld(until_s=until_s):
            return now_s < until_s and _has_chosen_servers(conditions)
        case Serving(), LeaseLapsed():
            return False


def _has_chosen_servers(state: ServingConditions) -> bool:
    """Return whether servers are chosen for each service that has some.

    Servers of a service that is not configured are never chosen nor needed.
    """
    cfg = state.configuration
    if cfg.version == 0 or not state.has_servers:
        return False
    chosen = (state.subsets.get(name) for name in cfg.servers if name in cfg.services)
    return all(subset is not None and subset.members for subset in chosen)
