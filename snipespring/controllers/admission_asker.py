"""Ask the first hub of this host's domain to admit requests."""

import logging
import threading
from concurrent.futures import Future

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import DOMAIN_HUBS
from ..frontends.datagrams import DatagramSender
from ..records import (
    Address,
    AdmissionAnswer,
    AdmissionQuery,
    HostId,
    Incarnation,
    OrganisationUsage,
    PublishedHost,
)
from ..utils import Clock
from .granter import Granter
from .metrics_recorder import MetricsRecorder
from .peers import is_sent_by

__all__ = ["AdmissionAsker"]

# Many round trips within a domain, and short beside a caller's deadline.
ANSWER_TIMEOUT_S = 0.04
MAX_SENDS = 3  # within the time-out; a lost query or answer is then no refusal
# A hub that did not answer is not asked for this long, so that its failure does not
# delay every request.
HUB_PAUSE_S = 0.25

log = logging.getLogger(__name__)


@define(kw_only=True, eq=False)
class AdmissionAsker:
    """Exchange queries and answers with the first hub on the callers' threads."""

    board: Board
    clock: Clock
    datagrams: DatagramSender
    metrics: MetricsRecorder
    granter: Granter
    own_host: PublishedHost
    incarnation: Incarnation
    timeout_s: float = ANSWER_TIMEOUT_S
    _lock: threading.Lock = field(factory=threading.Lock, init=False)
    _number: int = field(default=0, init=False)
    _futures: dict[int, Future[AdmissionAnswer]] = field(factory=dict, init=False)
    _paused_until_s: dict[HostId, float] = field(factory=dict, init=False)

    def ask(
        self, usage: OrganisationUsage, *, priority: int, deadline_at_s: float
    ) -> AdmissionAnswer | None:
        """Return the hub's decision, None without one in time."""
        hubs = self.board.read(DOMAIN_HUBS).hubs
        if not hubs:
            return None
        query, future = self._make_query(usage, priority)
        if hubs[0].host_id == self.own_host.host_id:
            del self._futures[query.number]
            return _only_decided(self.granter.decide(query))
        try:
            answer = self._exchange(hubs[0], query, future, deadline_at_s)
        finally:
            self._futures.pop(query.number, None)
        return _only_decided(answer)

    def receive(self, answer: AdmissionAnswer, sender: Address) -> None:
        """Pass an answer to the thread that waits for it."""
        future = self._futures.get(answer.number)
        if future is None or answer.incarnation != self.incarnation:
            return
        if not is_sent_by(self.board, answer.sender, sender):
            return
        with self._lock:
            if not future.done():
                future.set_result(answer)

    def _make_query(
        self, usage: OrganisationUsage, priority: int
    ) -> tuple[AdmissionQuery, Future[AdmissionAnswer]]:
        future: Future[AdmissionAnswer] = Future()
        with self._lock:
            self._number += 1
            self._futures[self._number] = future
            query = AdmissionQuery(
                sender=self.own_host.host_id,
                incarnation=self.incarnation,
                number=self._number,
                usage=usage,
                priority=priority,
            )
        return query, future

    def _exchange(
        self,
        hub: PublishedHost,
        query: AdmissionQuery,
        future: Future[AdmissionAnswer],
        deadline_at_s: float,
    ) -> AdmissionAnswer | None:
        sent_s = self.clock.monotonic_s()
        if sent_s < self._paused_until_s.get(hub.host_id, sent_s):
            self.metrics.count("admission_queries", "paused")
            return None
        timeout_s = max(0.0, min(self.timeout_s, deadline_at_s - sent_s))
        answer = None
        for _ in range(MAX_SENDS):
            self.datagrams.send(hub.peers, query)
            try:
                answer = future.result(timeout_s / MAX_SENDS)
            except TimeoutError:
                continue
            break
        if answer is None and timeout_s < self.timeout_s:
            # The caller's deadline was too near to tell whether the hub is reached.
            self.metrics.count("admission_queries", "deadline")
            return None
        if answer is None:
            self._pause(hub, "unanswered")
            return None
        # The hub takes a grant to be counted within the time-out. A process that was
        # frozen meanwhile must not use the grant later.
        if self.clock.monotonic_s() - sent_s > self.timeout_s:
            self._pause(hub, "late")
            return None
        self.metrics.count("admission_queries", "answered")
        return answer

    def _pause(self, hub: PublishedHost, outcome: str) -> None:
        self.metrics.count("admission_queries", outcome)
        self._paused_until_s = {hub.host_id: self.clock.monotonic_s() + HUB_PAUSE_S}
        log.info(
            "no admission answer, deciding alone",
            extra={"hub": hub.host_id, "outcome": outcome},
        )


def _only_decided(answer: AdmissionAnswer | None) -> AdmissionAnswer | None:
    return answer if answer is not None and answer.is_decided else None
