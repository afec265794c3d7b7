"""Hold the messages that hosts exchange over peer links."""

from attrs import field, frozen

from .claim_messages import ClaimMessage
from .fleet import HostStatus, Versions
from .health_messages import HealthMessage
from .identity import HostId
from .limit_messages import LimitMessage

__all__ = [
    "AgedSighting",
    "AgedStatus",
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
class AgedSighting:
    """Carry a sighting and an upper bound of its age in seconds.

    The content is left out where the puller already holds that version.
    """

    version: int
    age_s: float
    content: bytes | None = field(default=None, repr=False)


@frozen(kw_only=True)
class Pull:
    """Ask a peer for what it knows, stating the versions already held."""

    sender: HostId
    held: Versions


@frozen(kw_only=True)
class PullReply:
    """Answer a pull; ages hold at the moment of sending."""

    configuration: AgedSighting | None
    roster: AgedSighting | None
    statuses: tuple[AgedStatus, ...] = ()


@frozen(kw_only=True)
class Refused:
    """Refuse a message and say why."""

    reason: str


Message = Pull | PullReply | Refused | ClaimMessage | HealthMessage | LimitMessage


@frozen(kw_only=True)
class PeerFailed:
    """State that no valid reply came from a peer."""

    reason: str


PeerResult = Message | PeerFailed
