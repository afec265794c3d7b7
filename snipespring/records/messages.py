"""Define the messages that hosts exchange over peer links."""

from attrs import field, frozen

from .claim_messages import ClaimMessage
from .fleet import HostStatus, JournalPosition, Versions
from .health_messages import HealthMessage
from .identity import HostId
from .limit_messages import LimitMessage

__all__ = [
    "AgedSighting",
    "AgedStatus",
    "FetchSegment",
    "Message",
    "PeerFailed",
    "PeerResult",
    "Pull",
    "PullReply",
    "Refused",
    "SegmentAbsent",
    "SegmentFound",
    "StatusAges",
]


@frozen(kw_only=True)
class AgedStatus:
    """Pair a host's status with an upper bound of its age in seconds."""

    status: HostStatus
    age_s: float


@frozen(kw_only=True)
class AgedSighting:
    """Pair an observed object with an upper bound of its age in seconds.

    The content is omitted if the puller already has that version.
    """

    version: int
    age_s: float
    content: bytes | None = field(default=None, repr=False)


@frozen(kw_only=True)
class Pull:
    """Ask a peer for its state; `held` and `read` say what the sender already has.

    `read` is the position up to which the sender has read the peer's statuses.
    """

    sender: HostId
    held: Versions
    read: JournalPosition | None = None


@frozen(kw_only=True)
class StatusAges:
    """List the ages of statuses, one byte per host of a roster in the order of ids.

    `roster` is the version of this roster.
    A byte is an upper bound of the age of the host's status in units of 20 ms;
    255 stands for an older or an unknown one.
    """

    roster: int
    ages: bytes = field(repr=False)


@frozen(kw_only=True)
class PullReply:
    """Answer a pull; ages are those at the time of sending.

    `statuses` are those that changed since the position that the puller has read.
    `written` is the position that the puller reaches with this reply.
    """

    configuration: AgedSighting | None
    roster: AgedSighting | None
    statuses: tuple[AgedStatus, ...] = ()
    ages: StatusAges | None = None
    written: JournalPosition | None = None


@frozen(kw_only=True)
class FetchSegment:
    """Ask a peer for a segment of the rules text."""

    digest: str


@frozen(kw_only=True)
class SegmentFound:
    """Deliver a segment of the rules text."""

    digest: str
    content: bytes = field(repr=False)


@frozen(kw_only=True)
class SegmentAbsent:
    """Report that the peer does not have the segment."""

    digest: str


@frozen(kw_only=True)
class Refused:
    """Report that the receiver refused a message."""

    reason: str


Message = (
    Pull
    | PullReply
    | FetchSegment
    | SegmentFound
    | SegmentAbsent
    | Refused
    | ClaimMessage
    | HealthMessage
    | LimitMessage
)


@frozen(kw_only=True)
class PeerFailed:
    """Report that no valid reply came from a peer."""

    reason: str


PeerResult = Message | PeerFailed
