"""Hand each message from another host to the controller that answers it."""

from attrs import define

from ..records import (
    EjectionList,
    EvidenceReport,
    Message,
    Pull,
    PullReply,
    Refused,
)
from .health_judge import HealthJudge
from .puller import Puller

__all__ = ["Responder"]


@define(kw_only=True, eq=False)
class Responder:
    """Answer the calls of other hosts."""

    puller: Puller
    health_judge: HealthJudge

    def answer(self, message: Message) -> Message:
        """Return the reply to a message."""
        match message:
            case Pull():
                return self.puller.answer(message)
            case EvidenceReport():
                return self.health_judge.answer(message)
            case PullReply() | EjectionList() | Refused():
                return Refused(reason="a reply came where a call was expected")
