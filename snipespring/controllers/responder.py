"""Hand each message from another host to the controller that answers it."""

from attrs import define

from ..records import ClaimFacts, ClaimReports, ClaimRequest, Message, Pull, Refused
from .claim_owner import ClaimOwner
from .puller import Puller

__all__ = ["Responder"]


@define(kw_only=True, eq=False)
class Responder:
    """Answer the calls of other hosts."""

    puller: Puller
    claim_owner: ClaimOwner

    def answer(self, message: Message) -> Message:
        """Return the reply to a message."""
        match message:
            case Pull():
                return self.puller.answer(message)
            case ClaimRequest():
                return self.claim_owner.answer(message)
            case ClaimReports():
                return self.claim_owner.take(message)
            case ClaimFacts():
                return self.claim_owner.take_facts(message)
            case _:
                return Refused(reason="a reply came where a call was expected")
