"""Tell other hosts of the shares that passed to them."""

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
    """Follow the roster and hand shares to their new holders."""

    share_manager: ShareManager
    client: PeerClient
    clock: Clock
    historian: EventRecorder
    accountant: MetricsRecorder
    name: str = "share_mover"
    watches = (ROSTER, FENCE)
    _pool: ThreadPoolExecutor = field(init=False)
    _stopping: threading.Event = field(factory=threading.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Make the threads that wait for other hosts."""
        self._pool = ThreadPoolExecutor(
            MAX_CONCURRENT_CALLS, thread_name_prefix="handover"
        )

    def step(self) -> None:
        """Hand over what the newest roster gives to other hosts."""
        for release in self.share_manager.collect_releases():
            self._pool.submit(self._hand_over, release)

    def hand_over_all(self) -> None:
        """Give up every share and wait a bounded time until the others were told."""
        futs = [
            self._pool.submit(self._hand_over, release)
            for release in self.share_manager.release_all()
        ]
        wait(futs, timeout=STOP_TIMEOUT_S)

    def close(self) -> None:
        """Give up on hosts that were not told yet."""
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
        self.accountant.count("handovers", "failed")

    def _record_handover(self, release: ShareRelease) -> None:
        self.accountant.count("handovers", "taken")
        for organisation, lost in release.lost[:MAX_EVENTS_PER_RELEASE]:
            evidence = f"slot {lost.slot} passed to {release.recipient.host_id}"
            event = GrantMoved(
                at_wall_s=self.clock.wall_s(),
                organisation=organisation,
                evidence=f"{evidence} with level {lost.share.level:.2f}",
            )
            self.historian.record(event)
