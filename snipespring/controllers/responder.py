"""Pass each message from another host to the controller that answers it."""

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
    """Answer messages from other hosts."""

    puller: Puller
    segment_fetcher: SegmentFetcher
    share_manager: ShareManager
    health_evaluator: HealthEvaluator
    claim_owner: ClaimOwner

    def answer(self, message: Message) -> Message:
        """Return the reply to a message."""
        match message:
            case Pull():
                return self.puller.answer(message)
            case FetchSegment():
                return self.segment_fetcher.answer(message)
            case CreditAsks():
                return self.share_manager.lend(message)
            case ShareHandovers():
                return self.share_manager.receive_handovers(message)
            case EvidenceReport():
                return self.health_evaluator.answer(message)
            case ClaimRequest():
                return self.claim_owner.answer(message)
            case ClaimReports():
                return self.claim_owner.receive_reports(message)
            case ClaimFacts():
                return self.claim_owner.receive_facts(message)
            case _:
                return Refused(reason="received a reply where a request was expected")
