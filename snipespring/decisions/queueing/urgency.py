"""Name the kind of a request and decide how urgent it is within its service."""

from ...records import OrganisationRule, RouteRule

__all__ = ["name_of", "urgency_of"]


def name_of(route: RouteRule) -> str:
    """Return a name that tells the routes of a service apart."""
    return f"{','.join(route.methods)} {route.prefix}"


def urgency_of(route: RouteRule, organisation: OrganisationRule | None) -> int:
    """Return the priority of a request, 0 for the most urgent.

    The priority of the organisation overrides that of the route.
    """
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority
