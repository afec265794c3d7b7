"""Hand shares of organisations' rates over to their holders in the newest roster."""

import threading
from concurrent.futures import ThreadPoolExecutor, wait

from attrs import define, field

from ..blackboard.regions import FENCE, ROSTER
from ..frontends.peers import PeerClient
from ..records import GrantMoved, ShareRelease, SharesTaken
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder
from .share_manager import ShareManager

__all__ = ["ShareHandoverSender"]

CALL_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.2
MAX_ATTEMPTS = 15
MAX_CONCURRENT_CALLS = 8
STOP_TIMEOUT_S = 3.0
MAX_EVENTS_PER_RELEASE = 10


@define(kw_only=True, eq=False)
class ShareHandoverSender:
    """Send shares to their new holders at each roster change and at the stop."""

    share_manager: ShareManager
    client: PeerClient
    clock: Clock
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    name: str = "share_mover"
    watches = (ROSTER, FENCE)
    _pool: ThreadPoolExecutor = field(init=False)
    _stopping: threading.Event = field(factory=threading.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Create the threads that wait for replies of other hosts."""
        self._pool = ThreadPoolExecutor(
            MAX_CONCURRENT_CALLS, thread_name_prefix="handover"
        )

    def step(self) -> None:
        """Hand over the shares that the newest roster assigns to other hosts."""
        for release in self.share_manager.collect_releases():
            self._pool.submit(self._hand_over, release)

    def hand_over_all(self) -> None:
        """Hand all this host's shares of organisations' rates over to other hosts.

        Wait at most `STOP_TIMEOUT_S` seconds for their confirmations.
        """
        futures = [
            self._pool.submit(self._hand_over, release)
            for release in self.share_manager.release_all()
        ]
        wait(futures, timeout=STOP_TIMEOUT_S)

    def close(self) -> None:
        """Abandon the handovers that are not complete."""
        self._stopping.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _hand_over(self, release: ShareRelease) -> None:
        for _ in range(MAX_ATTEMPTS):
            message = self.share_manager.make_handovers(release)
            reply = self.client.call(
                release.recipient.peers, message, timeout_s=CALL_TIMEOUT_S
            )
            match reply:
                case SharesTaken():
                    self._record_handover(release)
                    return
                case _:
                    if self._stopping.wait(RETRY_DELAY_S):
                        return
        self.metrics.count("handovers", "failed")

    def _record_handover(self, release: ShareRelease) -> None:
        self.metrics.count("handovers", "taken")
        for organisation, lost_share in release.lost[:MAX_EVENTS_PER_RELEASE]:
            evidence = f"slot {lost_share.slot} passed to {release.recipient.host_id}"
            event = GrantMoved(
                at_wall_s=self.clock.wall_s(),
                organisation=organisation,
                evidence=f"{evidence} with level {lost_share.share.level:.2f}",
            )
            self.event_recorder.record(event)
