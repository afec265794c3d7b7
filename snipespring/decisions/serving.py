"""Decide whether a host accepts new requests."""

from collections.abc import Iterator, Mapping

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

__all__ = ["ServingConditions", "is_serving", "list_unmet_conditions"]


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
    return not list_unmet_conditions(conditions, now_s)


def list_unmet_conditions(
    conditions: ServingConditions, now_s: float
) -> tuple[str, ...]:
    """Return what keeps the host from serving, nothing if it serves."""
    return tuple(
        unmet
        for unmet in (
            _find_unmet_stop(conditions.stop),
            _find_unmet_lease(conditions.lease, now_s),
            *_list_unmet_servers(conditions),
        )
        if unmet is not None
    )


def _find_unmet_stop(stop: StopState) -> str | None:
    match stop:
        case Leaving():
            return "the host is leaving"
        case Serving():
            return None


def _find_unmet_lease(lease: LeaseState, now_s: float) -> str | None:
    match lease:
        case LeaseHeld(until_s=until_s) if now_s < until_s:
            return None
        case LeaseHeld():
            return "the lease has ended"
        case LeaseLapsed():
            # Its reason holds an age, which would make each check a new event.
            return "no lease"


def _list_unmet_servers(state: ServingConditions) -> Iterator[str]:
    """Require chosen servers for each service that has some.

    Servers of a service that is not configured are never chosen nor needed.
    """
    cfg = state.configuration
    if cfg.version == 0:
        yield "no configuration"
    if not state.has_servers:
        yield "the servers have not been listed"
    unchosen = [
        name
        for name in cfg.servers
        if name in cfg.services and not _has_members(state.subsets.get(name))
    ]
    if unchosen:
        count, first = len(unchosen), unchosen[0]
        yield f"no servers are chosen for {count} services (first: {first})"


def _has_members(subset: ServerSubset | None) -> bool:
    return subset is not None and bool(subset.members)
