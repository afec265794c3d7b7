"""Hold the messages that hosts exchange over peer links."""

from attrs import field, frozen

from .fleet import HostStatus, Versions
from .identity import HostId, Incarnation, OrganisationName

__all__ = [
    "AgedStatus",
    "ConfigurationPart",
    "Message",
    "PeerFailed",
    "PeerResult",
    "Pull",
    "PullReply",
    "Refused",
]


@frozen(kw_only=True)
class AgedStatus:
    """Carry a host's status and an upper bound of its age in seconds."""

    status: HostStatus
    age_s: float


@frozen(kw_only=True)
class Pull:
    """Ask a peer for all that changed in its journal after a position."""

    sender: HostId
    incarnation: Incarnation
    journal: str
    position: int
    versions: Versions


@frozen(kw_only=True)
class ConfigurationPart:
    """Carry the rules text of one configuration version."""

    version: int
    text: bytes = field(repr=False)


@frozen(kw_only=True)
class PullReply:
    """Answer a pull; ages are upper bounds in seconds at the time of sending."""

    journal: str
    position: int
    confirmed: Versions | None
    confirmed_age_s: float
    statuses: tuple[AgedStatus, ...] = ()
    configuration: ConfigurationPart | None = None
    roster: bytes | None = None


@frozen(kw_only=True)
class Refused:
    """Refuse a message and say why."""

    reason: str
    organisation: OrganisationName | None = None


Message = Pull | PullReply | Refused


@frozen(kw_only=True)
class PeerFailed:
    """State that no valid reply came from a peer."""

    reason: str


PeerResult = Message | PeerFailed
