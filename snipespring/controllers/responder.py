"""Hand each message from another host to the controller that answers it."""

from attrs import define

from ..records import (
    ClaimFacts,
    ClaimReports,
    ClaimRequest,
    CreditAsks,
    EvidenceReport,
    FetchSegment,
    Message,
    Pull,
    Refused,
    ShareHandovers,
)
from .claim_owner import ClaimOwner
from .health_evaluator import HealthEvaluator
from .puller import Puller
from .segment_fetcher import SegmentFetcher
from .share_manager import ShareManager

__all__ = ["Responder"]


@define(kw_only=True, eq=False)
class Responder:
    """Answer the calls of other hosts."""

    puller: Puller
    segment_keeper: SegmentFetcher
    shares: ShareManager
    health_judge: HealthEvaluator
    claim_owner: ClaimOwner

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
                return self.shares.receive_handovers(message)
            case EvidenceReport():
                return self.health_judge.answer(message)
            case ClaimRequest():
                return self.claim_owner.answer(message)
            case ClaimReports():
                return self.claim_owner.receive_reports(message)
            case ClaimFacts():
                return self.claim_owner.receive_facts(message)
            case _:
                return Refused(reason="a reply came where a call was expected")
