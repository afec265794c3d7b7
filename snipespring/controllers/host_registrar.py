"""Register this host in the store and list the registered hosts."""

from random import Random
from typing import Protocol

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import DOMAIN_REPORTS, FLEET_VIEW, HOST_FEED
from ..decisions.domains import has_unknown_host
from ..decisions.feeds import apply_listing
from ..decisions.membership import draw_backoff_s
from ..records import FeedListing, FeedUnavailable, PublishedHost, StoreStep
from ..utils import Clock
from .feed_follower import Feed
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["HostRegistrar", "HostRegistry"]

MAX_BACKOFF_S = 1.0
# Delays in seconds before the first listings of hosts. After a restart of the whole
# fleet, the first listing finds the other hosts, which are still registered; when a
# fleet starts for the first time, the second one does, since hosts register within a
# second.
FIRST_LISTING_DELAYS_S = (0.0, 1.0)
# Hosts are listed again after this time, or sooner if a host serves that is not known.
LISTING_INTERVAL_S = 30.0
CHECK_INTERVAL_S = 2.5


class HostRegistry(Protocol):
    """Register hosts in the store."""

    def announce(self, host: PublishedHost) -> FeedUnavailable | None:
        """Write where the host listens; return a failure if that is not confirmed."""


@define(kw_only=True, eq=False)
class HostRegistrar:
    """Write the host feed region."""

    board: Board
    clock: Clock
    rng: Random
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    registry: HostRegistry
    feed: Feed[PublishedHost]
    own_host: PublishedHost
    name: str = "host_feed"
    watches = ()
    _is_announced: bool = field(default=False, init=False)
    _listings: int = field(default=0, init=False)
    _failures: int = field(default=0, init=False)
    _next_listing_s: float = field(default=0.0, init=False)

    def step(self) -> float:
        """Register this host once, then list all hosts; return the pause in seconds."""
        if not self._is_announced:
            return self._announce()
        now_s = self.clock.monotonic_s()
        if now_s < self._next_listing_s and not self._is_a_host_unknown():
            return min(self._next_listing_s - now_s, self._draw_check_s())
        return self._list_hosts()

    def _is_a_host_unknown(self) -> bool:
        """Return whether a host serves whose addresses are not known."""
        return has_unknown_host(
            self.board.read(HOST_FEED),
            self.board.read(DOMAIN_REPORTS),
            self.board.read(FLEET_VIEW),
        )

    def _draw_check_s(self) -> float:
        return CHECK_INTERVAL_S * self.rng.uniform(0.8, 1.2)

    def _announce(self) -> float:
        self.metrics.count("store_calls", "host_announce")
        failure = self.registry.announce(self.own_host)
        if failure is not None:
            return self._handle_failure(
                f"registering this host failed: {failure.reason}"
            )
        self._is_announced = True
        self._failures = 0
        return FIRST_LISTING_DELAYS_S[0]

    def _list_hosts(self) -> float:
        is_early = self._listings < len(FIRST_LISTING_DELAYS_S)
        self.metrics.count("store_calls", f"{self.name}_list")
        sent_s = self.clock.monotonic_s()
        listed = self.feed.list_items(may_be_stale=not is_early)
        match listed:
            case FeedUnavailable(reason=reason):
                return self._handle_failure(f"listing the hosts failed: {reason}")
            case FeedListing():
                known = self.board.read(HOST_FEED)
                now_s = self.clock.monotonic_s()
                view, _ = apply_listing(known, listed, sent_s=sent_s, now_s=now_s)
                self.board.write(HOST_FEED, view, writer=self.name)
        self._failures = 0
        self._listings += 1
        if self._listings < len(FIRST_LISTING_DELAYS_S):
            return FIRST_LISTING_DELAYS_S[self._listings]
        interval_s = LISTING_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self._next_listing_s = self.clock.monotonic_s() + interval_s
        return self._draw_check_s()

    def _handle_failure(self, evidence: str) -> float:
        if self._failures == 0:
            event = StoreStep(
                at_wall_s=self.clock.wall_s(), feed=self.name, evidence=evidence
            )
            self.event_recorder.record(event)
        self._failures += 1
        return draw_backoff_s(self._failures, max_s=MAX_BACKOFF_S, rng=self.rng)
