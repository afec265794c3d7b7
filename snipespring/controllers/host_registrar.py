"""Register this host in the store and list the registered hosts."""

from random import Random
from typing import Protocol

from attrs import define, field

from ..blackboard import Board
from ..blackboard.regions import DOMAIN_REPORTS, FLEET_VIEW, HOST_FEED
from ..decisions.domains import has_unknown_host
from ..decisions.feeds import apply_listing, confirm_view
from ..decisions.first_reads import has_stopped_growing, mark_unsettled
from ..decisions.membership import draw_backoff_s
from ..records import (
    FeedListing,
    FeedUnavailable,
    FeedView,
    PublishedHost,
    StoreStep,
)
from ..utils import Clock
from .feed_follower import Feed, count_listing
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["HostRegistrar", "HostRegistry"]

MAX_BACKOFF_S = 2.0
# A host that is not registered lists the others again after this time, since a fleet
# may have started without being marked as new; hosts register within a second.
SECOND_LISTING_DELAY_S = 1.0
# Pauses in seconds before the listings of a fleet that starts for the first time. Hosts
# register within about a second, and a listing may be 2 to 3 s old. The traffic begins
# 10 to 12 s after the start.
FIRST_START_PAUSES_S = (3.5, 1.5, 2.0, 2.5, 3.0)
# A listing sent this long after the registration shows it even if it is stale.
REGISTRATION_VISIBLE_S = 5.0
# Hosts are listed again after this time, or sooner if a host serves that is not known.
# With 187 hosts, listings every 30 s cost as much as all watches.
LISTING_INTERVAL_S = 300.0
CHECK_INTERVAL_S = 2.5


class HostRegistry(Protocol):
    """Register hosts in the store."""

    def announce(self, host: PublishedHost) -> FeedUnavailable | None:
        """Write where the host listens; return a failure if that is not confirmed."""


@define(kw_only=True, eq=False)
class HostRegistrar:
    """Write the host feed region.

    `is_first_start` marks the first start of a fleet, whose registry is still empty.
    """

    board: Board
    clock: Clock
    rng: Random
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    registry: HostRegistry
    feed: Feed[PublishedHost]
    own_host: PublishedHost
    is_first_start: bool = False
    name: str = "host_feed"
    watches = ()
    _announced_s: float | None = field(default=None, init=False)
    _is_settled: bool = field(default=False, init=False)
    _listings: int = field(default=0, init=False)
    _failures: int = field(default=0, init=False)
    _next_listing_s: float = field(default=0.0, init=False)

    def step(self) -> float:
        """Find the other hosts, register this one; return the pause in seconds."""
        if self.is_first_start and self._announced_s is None:
            return self._announce(then_s=FIRST_START_PAUSES_S[0])
        if not self._is_settled:
            return self._settle()
        now_s = self.clock.monotonic_s()
        if now_s < self._next_listing_s and not self._is_a_host_unknown():
            return min(self._next_listing_s - now_s, self._draw_check_s())
        listed = self._list_hosts("list", may_be_stale=True)
        if isinstance(listed, FeedUnavailable):
            return self._handle_failure(f"listing the hosts failed: {listed.reason}")
        if not self._find_own(listed) and self._is_registration_visible(now_s):
            return self._announce(then_s=0.0)
        return self._draw_check_s()

    def _settle(self) -> float:
        """List the hosts until all of them are known; return the pause in seconds."""
        earlier = self.board.read(HOST_FEED)
        may_be_stale = self.is_first_start or self._listings == 0
        purpose = "first" if may_be_stale else "again"
        if self._listings == 0 or self.is_first_start or self._announced_s is not None:
            listed = self._list_hosts(purpose, may_be_stale=may_be_stale)
            if isinstance(listed, FeedUnavailable):
                return self._handle_failure(
                    f"listing the hosts failed: {listed.reason}"
                )
            if self._is_settled_by(listed, earlier):
                self._settle_view()
                return self._draw_check_s()
            if self.is_first_start:
                return FIRST_START_PAUSES_S[self._listings]
        return self._announce(then_s=SECOND_LISTING_DELAY_S)

    def _is_settled_by(
        self, listed: FeedListing[PublishedHost], earlier: FeedView[PublishedHost]
    ) -> bool:
        if not self.is_first_start:
            return self._announced_s is not None or self._find_own(listed)
        later = self.board.read(HOST_FEED)
        if self._listings >= len(FIRST_START_PAUSES_S):
            return True
        return has_stopped_growing(earlier, later, self.own_host.host_id)

    def _settle_view(self) -> None:
        """Let this host watch the store, now that the hubs of its domain are known."""
        self._is_settled = True
        sent_s = self.clock.monotonic_s()
        self.board.update(
            HOST_FEED, lambda view: confirm_view(view, sent_s=sent_s), writer=self.name
        )

    def _find_own(self, listed: FeedListing[PublishedHost]) -> bool:
        """Return whether a listing has this host's own unchanged entry."""
        return any(item.content == self.own_host for item in listed.items)

    def _is_registration_visible(self, sent_s: float) -> bool:
        announced_s = self._announced_s
        return announced_s is None or sent_s >= announced_s + REGISTRATION_VISIBLE_S

    def _is_a_host_unknown(self) -> bool:
        """Return whether a host serves whose addresses are not known."""
        return has_unknown_host(
            self.board.read(HOST_FEED),
            self.board.read(DOMAIN_REPORTS),
            self.board.read(FLEET_VIEW),
        )

    def _draw_check_s(self) -> float:
        return CHECK_INTERVAL_S * self.rng.uniform(0.8, 1.2)

    def _announce(self, *, then_s: float) -> float:
        """Register this host; return `then_s`, or the pause after a failure."""
        self.metrics.count("store_calls", "host_announce")
        failure = self.registry.announce(self.own_host)
        if failure is not None:
            return self._handle_failure(
                f"registering this host failed: {failure.reason}"
            )
        self._announced_s = self.clock.monotonic_s()
        self._failures = 0
        return then_s

    def _list_hosts(
        self, purpose: str, *, may_be_stale: bool
    ) -> FeedListing[PublishedHost] | FeedUnavailable:
        sent_s = self.clock.monotonic_s()
        listed = self.feed.list_items(may_be_stale=may_be_stale)
        count_listing(self.metrics, f"{self.name}_{purpose}", listed)
        match listed:
            case FeedUnavailable():
                return listed
            case FeedListing():
                known = self.board.read(HOST_FEED)
                now_s = self.clock.monotonic_s()
                view, _ = apply_listing(known, listed, sent_s=sent_s, now_s=now_s)
                if not self._is_settled:
                    view = mark_unsettled(view)
                self.board.write(HOST_FEED, view, writer=self.name)
        self._failures = 0
        self._listings += 1
        interval_s = LISTING_INTERVAL_S * self.rng.uniform(0.8, 1.2)
        self._next_listing_s = self.clock.monotonic_s() + interval_s
        return listed

    def _handle_failure(self, evidence: str) -> float:
        if self._failures == 0:
            event = StoreStep(
                at_wall_s=self.clock.wall_s(), feed=self.name, evidence=evidence
            )
            self.event_recorder.record(event)
        self._failures += 1
        return draw_backoff_s(self._failures, max_s=MAX_BACKOFF_S, rng=self.rng)
