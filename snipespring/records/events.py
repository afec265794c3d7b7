"""Define the log of decisions from which the `explain` command answers.

`at_wall_s` is the wall clock time of an event in Unix seconds, `rule` the rule that
decided and `evidence` the text that gives the reason.
"""

from attrs import frozen

from .identity import OrganisationName, ServerId

__all__ = [
    "ConfigurationStep",
    "Event",
    "Events",
    "GrantMoved",
    "HostStep",
    "LeaseStep",
    "PlaceStep",
    "ReadinessStep",
    "RequestRefused",
    "ServerStep",
    "StoreStep",
]


@frozen(kw_only=True)
class RequestRefused:
    """Record that a request was refused by a rule."""

    at_wall_s: float
    request_id: str
    organisation: OrganisationName | None
    rule: str
    evidence: str


@frozen(kw_only=True)
class ServerStep:
    """Record that the state of a server changed."""

    at_wall_s: float
    server: ServerId
    state: str
    rule: str
    evidence: str


@frozen(kw_only=True)
class GrantMoved:
    """Record that a share of an organisation's limit moved between hosts."""

    at_wall_s: float
    organisation: OrganisationName
    evidence: str


@frozen(kw_only=True)
class ConfigurationStep:
    """Record that a configuration version was adopted or refused."""

    at_wall_s: float
    version: int
    evidence: str


@frozen(kw_only=True)
class LeaseStep:
    """Record that this host gained or lost its lease."""

    at_wall_s: float
    evidence: str


@frozen(kw_only=True)
class HostStep:
    """Record that another host joined, left or stopped reporting."""

    at_wall_s: float
    host_id: str
    evidence: str


@frozen(kw_only=True)
class StoreStep:
    """Record that the store's availability changed or an item was skipped."""

    at_wall_s: float
    feed: str
    evidence: str


@frozen(kw_only=True)
class PlaceStep:
    """Record that the use of a failure domain or region changed."""

    at_wall_s: float
    place: str
    state: str
    evidence: str


@frozen(kw_only=True)
class ReadinessStep:
    """Record that this host became ready, or why it is not."""

    at_wall_s: float
    state: str
    evidence: str


Event = (
    RequestRefused
    | ServerStep
    | GrantMoved
    | ConfigurationStep
    | LeaseStep
    | HostStep
    | StoreStep
    | PlaceStep
    | ReadinessStep
)


@frozen(kw_only=True)
class Events:
    """List the latest events, oldest first."""

    latest: tuple[Event, ...] = ()
