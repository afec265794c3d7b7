"""Ask the hosts that hold shares of an organisation's rate to lend credit.

This host asks when its own credit for the organisation is short or runs low.
"""

import threading
from concurrent.futures import ThreadPoolExecutor

from attrs import define, field

from ..blackboard.regions import CREDIT_NEEDS
from ..decisions.limits import OutgoingAsks, peer_of
from ..frontends.peers import PeerClient
from ..records import CreditGrants, Peer
from .metrics_recorder import MetricsRecorder
from .share_manager import ShareManager

__all__ = ["ShareBorrower"]

CALL_TIMEOUT_S = 0.15
MAX_CONCURRENT_CALLS = 8
AHEAD_REPEAT_S = 0.05


@define(kw_only=True, eq=False)
class ShareBorrower:
    """Send each holder at most one message at a time."""

    share_manager: ShareManager
    client: PeerClient
    metrics: MetricsRecorder
    name: str = "share_borrower"
    watches = (CREDIT_NEEDS,)
    _pool: ThreadPoolExecutor = field(init=False)
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _unanswered_peers: set[Peer] = field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the threads that wait for replies of holders."""
        self._pool = ThreadPoolExecutor(
            MAX_CONCURRENT_CALLS, thread_name_prefix="borrow"
        )

    def step(self) -> float | None:
        """Send the requests for credit that are due; return seconds until the next."""
        with self._lock:
            unanswered_peers = frozenset(self._unanswered_peers)
        plan = self.share_manager.plan_borrowing(unanswered_peers)
        for outgoing in plan.outgoing:
            with self._lock:
                self._unanswered_peers.add(peer_of(outgoing.host))
            self._pool.submit(self._ask, outgoing)
        return plan.again_in_s

    def _ask(self, outgoing: OutgoingAsks) -> None:
        try:
            reply = self.client.call(
                outgoing.host.peers, outgoing.message, timeout_s=CALL_TIMEOUT_S
            )
        finally:
            with self._lock:
                self._unanswered_peers.discard(peer_of(outgoing.host))
        match reply:
            case CreditGrants() as grants:
                self.metrics.count("credit_calls", "answered")
                self.share_manager.receive_grants(outgoing, grants)
            case _:
                self.metrics.count("credit_calls", "failed")
                self.share_manager.receive_grants(outgoing, None)
