"""Decide how urgent a request is among those of its service."""

from ...records import OrganisationRule, RouteRule

__all__ = ["urgency_of"]


def urgency_of(route: RouteRule, organisation: OrganisationRule | None) -> int:
    """Return the priority of a request, 0 for the most urgent.

    The priority of the organisation overrides that of the route.
    """
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority
