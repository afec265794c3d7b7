"""Hand each message from another host to the controller that answers it."""

from attrs import define

from ..records import (
    FetchSegment,
    Message,
    Pull,
    PullReply,
    Refused,
    SegmentAbsent,
    SegmentFound,
)
from .puller import Puller
from .segment_keeper import SegmentKeeper

__all__ = ["Responder"]


@define(kw_only=True, eq=False)
class Responder:
    """Answer the calls of other hosts."""

    puller: Puller
    segment_keeper: SegmentKeeper

    def answer(self, message: Message) -> Message:
        """Return the reply to a message."""
        match message:
            case Pull():
                return self.puller.answer(message)
            case FetchSegment():
                return self.segment_keeper.answer(message)
            case PullReply() | SegmentFound() | SegmentAbsent() | Refused():
                return Refused(reason="a reply came where a call was expected")
