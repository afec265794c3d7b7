"""Build the controllers that forward requests to backend servers."""

from attrs import define

from ..controllers import (
    AdmissionControl,
    Canceller,
    ClaimControl,
    ConcurrencyLimiter,
    Controller,
    DemandRecorder,
    Dispatcher,
    Forwarder,
    Sender,
    StartGate,
    SubsetSelector,
)
from ..frontends.backends import Transport
from ..records import Host
from .process_context import ProcessContext

__all__ = ["RequestPart", "build_requests"]


@define(kw_only=True, eq=False)
class RequestPart:
    """Group the controllers that forward requests to backend servers."""

    forwarder: Forwarder
    dispatcher: Dispatcher
    canceller: Canceller
    subset_selector: SubsetSelector

    @property
    def controllers(self) -> tuple[Controller, ...]:
        """Return the controllers that the runner steps."""
        return (self.dispatcher, self.canceller, self.subset_selector)


def build_requests(
    process: ProcessContext,
    *,
    own_host: Host,
    transport: Transport,
    limiter: AdmissionControl,
    claimant: ClaimControl,
    max_queued: int,
    threads: int,
    floor_share: float = 0.0,
    retry_window_s: float = 10.0,
    start_gate: StartGate | None = None,
) -> RequestPart:
    """Build the request controllers; at most `max_queued` requests wait for a slot.

    `threads` is the number of requests that the host handles at the same time.
    Retries are bounded in any `retry_window_s` seconds. Requests that arrive during a
    start wait at the `start_gate`, if there is one.
    While a service fails, at least `floor_share` of its servers get requests.
    """
    canceller = Canceller(board=process.board, clock=process.clock, transport=transport)
    dispatcher = Dispatcher(
        board=process.board,
        clock=process.clock,
        rng=process.rng,
        max_queued=max_queued,
        floor_share=floor_share,
    )
    sender = Sender(
        board=process.board,
        clock=process.clock,
        rng=process.rng,
        transport=transport,
        dispatcher=dispatcher,
        canceller=canceller,
        metrics=process.metrics,
        domain=own_host.domain,
        demand=DemandRecorder(
            board=process.board, clock=process.clock, window_s=retry_window_s
        ),
    )
    forwarder = Forwarder(
        board=process.board,
        clock=process.clock,
        event_recorder=process.event_recorder,
        metrics=process.metrics,
        limiter=limiter,
        claimant=claimant,
        sender=sender,
        concurrency_limiter=ConcurrencyLimiter(board=process.board, threads=threads),
        rng=process.rng,
        start_gate=start_gate,
    )
    return RequestPart(
        forwarder=forwarder,
        dispatcher=dispatcher,
        canceller=canceller,
        subset_selector=SubsetSelector(
            board=process.board,
            clock=process.clock,
            transport=transport,
            own_host=own_host,
        ),
    )
