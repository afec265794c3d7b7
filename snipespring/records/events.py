"""A bounded log of decisions, from which the `explain` command answers."""

from attrs import frozen

from .identity import OrganisationName, ServerId

__all__ = [
    "ConfigurationStep",
    "Event",
    "Events",
    "GrantMoved",
    "HostStep",
    "LeaseStep",
    "RequestRefused",
    "ServerStep",
    "StoreStep",
]


@frozen(kw_only=True)
class RequestRefused:
    """A request was refused by a rule."""

    at_wall_s: float
    request_id: str
    organisation: OrganisationName | None
    rule: str
    evidence: str


@frozen(kw_only=True)
class ServerStep:
    """The state of a server changed."""

    at_wall_s: float
    server: ServerId
    state: str
    rule: str
    evidence: str


@frozen(kw_only=True)
class GrantMoved:
    """A share of an organisation's limit moved between hosts."""

    at_wall_s: float
    organisation: OrganisationName
    evidence: str


@frozen(kw_only=True)
class ConfigurationStep:
    """A configuration version was adopted or refused."""

    at_wall_s: float
    version: int
    evidence: str


@frozen(kw_only=True)
class LeaseStep:
    """This host gained or lost its lease."""

    at_wall_s: float
    evidence: str


@frozen(kw_only=True)
class HostStep:
    """Another host joined, left or stopped reporting."""

    at_wall_s: float
    host_id: str
    evidence: str


@frozen(kw_only=True)
class StoreStep:
    """The store became unavailable or available again, or an item was skipped."""

    at_wall_s: float
    feed: str
    evidence: str


Event = (
    RequestRefused
    | ServerStep
    | GrantMoved
    | ConfigurationStep
    | LeaseStep
    | HostStep
    | StoreStep
)


@frozen(kw_only=True)
class Events:
    """The latest events, oldest first."""

    latest: tuple[Event, ...] = ()
