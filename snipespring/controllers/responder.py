"""Hand each message from another host to the controller that answers it."""

from attrs import define

from ..records import (
    CreditAsks,
    CreditGrants,
    EjectionList,
    EvidenceReport,
    FetchSegment,
    Message,
    Pull,
    PullReply,
    Refused,
    SegmentAbsent,
    SegmentFound,
    ShareHandovers,
    SharesTaken,
)
from .health_judge import HealthJudge
from .puller import Puller
from .segment_keeper import SegmentKeeper
from .share_book import ShareBook

__all__ = ["Responder"]


@define(kw_only=True, eq=False)
class Responder:
    """Answer the calls of other hosts."""

    puller: Puller
    segment_keeper: SegmentKeeper
    shares: ShareBook
    health_judge: HealthJudge

    def answer(self, message: Message) -> Message:
        """Return the reply to a message."""
        match message:
            case Pull():
                return self.puller.answer(message)
            case FetchSegment():
                return self.segment_keeper.answer(message)
            case CreditAsks():
                return self.shares.lend(message)
            case ShareHandovers():
                return self.shares.take(message)
            case EvidenceReport():
                return self.health_judge.answer(message)
            case (
                PullReply()
                | SegmentFound()
                | SegmentAbsent()
                | EjectionList()
                | Refused()
                | CreditGrants()
                | SharesTaken()
            ):
                return Refused(reason="a reply came where a call was expected")
