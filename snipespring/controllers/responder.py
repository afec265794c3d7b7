"""Hand each message from another host to the controller that answers it."""

from attrs import define

from ..records import Message, Pull, PullReply, Refused
from .puller import Puller

__all__ = ["Responder"]


@define(kw_only=True, eq=False)
class Responder:
    """Answer the calls of other hosts."""

    puller: Puller

    def answer(self, message: Message) -> Message:
        """Return the reply to a message."""
        match message:
            case Pull():
                return self.puller.answer(message)
            case PullReply() | Refused():
                return Refused(reason="a reply came where a call was expected")
