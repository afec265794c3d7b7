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
from .process_context import ProcessContext

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
    process: ProcessContext,
    *,
    own_host: Host,
    transport: Transport,
    limits: AdmissionControl,
    claims: ClaimControl,
    max_queued: int,
) -> RequestPart:
    """Return the part that serves callers' requests; `max_queued` of them may wait."""
    canceller = Canceller(board=process.board, clock=process.clock, transport=transport)
    dispatcher = Dispatcher(
        board=process.board, clock=process.clock, rng=process.rng, max_queued=max_queued
    )
    sender = Sender(
        board=process.board,
        clock=process.clock,
        rng=process.rng,
        transport=transport,
        dispatcher=dispatcher,
        canceller=canceller,
        accountant=process.accountant,
        domain=own_host.domain,
    )
    forwarder = Forwarder(
        board=process.board,
        clock=process.clock,
        historian=process.historian,
        accountant=process.accountant,
        limiter=limits,
        claimant=claims,
        sender=sender,
        rng=process.rng,
    )
    return RequestPart(
        forwarder=forwarder,
        dispatcher=dispatcher,
        canceller=canceller,
        subset_keeper=SubsetSelector(
            board=process.board,
            clock=process.clock,
            transport=transport,
            own_host=own_host,
        ),
    )
