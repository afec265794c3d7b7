"""Build what takes a request to a backend server and back."""

from attrs import define

from ..controllers import (
    AdmissionControl,
    Canceller,
    ClaimControl,
    Controller,
    Dispatcher,
    Forwarder,
    Sender,
    SubsetSelector,
)
from ..frontends.backends import Transport
from ..records import Host
from .core import Core

__all__ = ["RequestPart", "build_requests"]


@define(kw_only=True, eq=False)
class RequestPart:
    """Hold what takes a request to a backend server and back."""

    forwarder: Forwarder
    dispatcher: Dispatcher
    canceller: Canceller
    subset_keeper: SubsetSelector

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return every controller of the part."""
        return (self.dispatcher, self.canceller, self.subset_keeper)


def build_requests(
    core: Core,
    *,
    own: Host,
    transport: Transport,
    limits: AdmissionControl,
    claims: ClaimControl,
    queue: int,
) -> RequestPart:
    """Return the part that serves callers' requests; `queue` of them may wait."""
    canceller = Canceller(board=core.board, clock=core.clock, transport=transport)
    dispatcher = Dispatcher(
        board=core.board, clock=core.clock, rng=core.rng, max_queued=queue
    )
    sender = Sender(
        board=core.board,
        clock=core.clock,
        rng=core.rng,
        transport=transport,
        dispatcher=dispatcher,
        canceller=canceller,
        accountant=core.accountant,
        domain=own.domain,
    )
    forwarder = Forwarder(
        board=core.board,
        clock=core.clock,
        historian=core.historian,
        accountant=core.accountant,
        limiter=limits,
        claimant=claims,
        sender=sender,
        rng=core.rng,
    )
    return RequestPart(
        forwarder=forwarder,
        dispatcher=dispatcher,
        canceller=canceller,
        subset_keeper=SubsetSelector(
            board=core.board, clock=core.clock, transport=transport, own_host=own
        ),
    )
