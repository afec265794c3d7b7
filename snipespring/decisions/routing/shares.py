"""Distribute the requests of a route over its services by weight."""

from random import Random

from ...records import RouteRule, ServiceName

__all__ = ["draw_service"]


def draw_service(route: RouteRule, rng: Random) -> ServiceName:
    """Return the service of one request, drawn in proportion to the weights."""
    if not route.shares:
        return route.service
    names = [share.service for share in route.shares]
    return rng.choices(names, [share.weight for share in route.shares])[0]
