"""Follow the feeds of the platform's store.

A host does not query the store for the configuration while another host relays recent
confirmations that the version in use is still the newest.
"""

from collections.abc import Callable
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from attrs import define, evolve, field

from ..blackboard import Board, Region
from ..blackboard.regions import RELAY_NOTICE, STORE_RELAY
from ..decisions.confirmations import (
    QueryStore,
    ReadNewerVersion,
    RelayLimits,
    UseRelayedConfirmation,
    adopt_stale_listing,
    check_relay,
)
from ..decisions.feeds import SkippedItem, apply_listing, apply_watch_answer
from ..decisions.membership import draw_backoff_s
from ..decisions.outages import extend_span
from ..decisions.server_relay import (
    AwaitRelay,
    apply_server_changes,
    check_server_relay,
)
from ..records import (
    Configuration,
    FeedChanges,
    FeedGap,
    FeedListing,
    FeedUnavailable,
    FeedView,
    PublishedServer,
    ServerChanges,
    StoreStep,
)
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder

__all__ = ["ConfigurationFollower", "Feed", "FeedFollower", "ServerFollower"]

T = TypeVar("T")

MAX_BACKOFF_S = 0.5  # limits the time until a recovered store is queried again
# Pause after a change, so that the next answer carries several changes.
CHANGE_BATCH_PAUSE_S = 0.4


class Feed(Protocol[T]):
    """List and watch the items of one kind in the store."""

    def list_items(
        self, *, may_be_stale: bool = False
    ) -> FeedListing[T] | FeedUnavailable:
        """Return every item, from a possibly outdated copy if `may_be_stale`."""

    def watch(
        self, *, after: int, wait_s: float
    ) -> FeedChanges[T] | FeedGap | FeedUnavailable:
        """Wait up to `wait_s` seconds for changes after the revision `after`."""


@define(kw_only=True, eq=False)
class FeedFollower(Generic[T]):
    """Write the region of one feed by listing it once and then watching it.

    The controller watches no region; it blocks in the calls to the store. A watch
    after an outage would return each change since; with `lists_when_behind`, the
    items are listed instead, which is shorter for a few large ones. Without an answer
    for `outage_s` seconds, the store counts as having been away.
    """

    board: Board
    clock: Clock
    rng: Random
    event_recorder: EventRecorder
    metrics: MetricsRecorder
    feed: Feed[T]
    region: Region[FeedView[T]]
    wait_s: float
    outage_s: float
    lists_when_behind: bool = False
    watches: tuple[Region[Any], ...] = field(default=(), init=False)
    _next_step_s: float = field(default=0.0, init=False)
    _failures: int = field(default=0, init=False)

    @property
    def name(self) -> str:
        """Return the name under which this controller writes to the blackboard."""
        return self.region.writer

    def step(self, *, is_behind: bool = False) -> float:
        """Query the store once; return the pause in seconds before the next query."""
        known = self.board.read(self.region)
        sent_s = self.clock.monotonic_s()
        is_behind = is_behind or self._failures > 0
        if known.revision is None or (self.lists_when_behind and is_behind):
            self.metrics.count("store_calls", f"{self.name}_list")
            listed = self.feed.list_items()
            match listed:
                case FeedListing():
                    now_s = self.clock.monotonic_s()
                    return self._update_view(
                        lambda view: apply_listing(
                            view, listed, sent_s=sent_s, now_s=now_s
                        )
                    )
                case FeedUnavailable():
                    return self._handle_failure(listed)
        self.metrics.count("store_calls", f"{self.name}_watch")
        answer = self.feed.watch(after=known.revision, wait_s=self.wait_s)
        match answer:
            case FeedUnavailable():
                return self._handle_failure(answer)
            case FeedChanges() | FeedGap():
                now_s = self.clock.monotonic_s()
                pause_s = self._update_view(
                    lambda view: apply_watch_answer(
                        view, answer, sent_s=sent_s, now_s=now_s
                    )
                )
                return CHANGE_BATCH_PAUSE_S if _has_changes(answer) else pause_s

    def is_due(self) -> bool:
        """Return whether the pause after the last step is over."""
        return self.clock.monotonic_s() >= self._next_step_s

    def step_when_due(self, *, is_behind: bool = False) -> float:
        """Do one step unless the pause after the last one lasts; return seconds."""
        if not self.is_due():
            return self._next_step_s - self.clock.monotonic_s()
        pause_s = self.step(is_behind=is_behind)
        self._next_step_s = self.clock.monotonic_s() + pause_s
        return pause_s

    def _update_view(
        self,
        change: Callable[[FeedView[T]], tuple[FeedView[T], tuple[SkippedItem, ...]]],
    ) -> float:
        now_s = self.clock.monotonic_s()

        def apply(view: FeedView[T]) -> tuple[FeedView[T], tuple[SkippedItem, ...]]:
            view, skipped = change(view)
            span = extend_span(view.available, now_s, outage_s=self.outage_s)
            return evolve(view, available=span), skipped

        skipped = self.board.transact(self.region, apply, writer=self.name)
        if self._failures:
            self._record(f"store recovered after {self._failures} failed calls")
        self._failures = 0
        for item in skipped:
            self._record(f"skipped item {item.name}: {item.reason}")
        return 0.0

    def _handle_failure(self, failure: FeedUnavailable) -> float:
        if self._failures == 0:
            self._record(f"store unavailable: {failure.reason}")
        self._failures += 1
        self.metrics.count("store_failures", self.name)
        return draw_backoff_s(self._failures, max_s=MAX_BACKOFF_S, rng=self.rng)

    def _record(self, evidence: str) -> None:
        event = StoreStep(
            at_wall_s=self.clock.wall_s(), feed=self.name, evidence=evidence
        )
        self.event_recorder.record(event)


def _has_changes(answer: FeedChanges[T] | FeedGap) -> bool:
    match answer:
        case FeedChanges(changes=changes):
            return bool(changes)
        case FeedGap():
            return False


@define(kw_only=True, eq=False)
class ConfigurationFollower:
    """Follow the configuration by relayed confirmations or by the store.

    The store is queried once the relayed confirmations exceed the limits.
    """

    feed_follower: FeedFollower[Configuration]
    limits: RelayLimits
    _tried_version: int = field(default=0, init=False)
    watches: tuple[Region[Any], ...] = field(default=(RELAY_NOTICE,), init=False)

    @property
    def name(self) -> str:
        """Return the name under which this controller writes to the blackboard."""
        return self.feed_follower.name

    def step(self) -> float:
        """Use a relayed confirmation or query the store; return seconds to wait."""
        follower, board = self.feed_follower, self.feed_follower.board
        now_s = follower.clock.monotonic_s()
        known = board.read(follower.region)
        relay = board.read(STORE_RELAY)
        match check_relay(known, relay, self.limits, now_s=now_s):
            case ReadNewerVersion(version=version) if (
                follower.is_due() and self._read_version(version)
            ):
                return 0.0
            case ReadNewerVersion():
                return follower.step_when_due(is_behind=True)
            case QueryStore():
                return follower.step_when_due()
            case UseRelayedConfirmation(view=view, next_query_s=next_query_s):
                if view != known:
                    board.write(follower.region, view, writer=self.name)
                return next_query_s - now_s

    def _read_version(self, version: int) -> bool:
        """Read a version by a stale read, which costs least; return whether it has it.

        Each version is tried once, so that a store that lags is asked for fresh data.
        """
        if version <= self._tried_version:
            return False
        self._tried_version = version
        follower = self.feed_follower
        follower.metrics.count("store_calls", f"{self.name}_stale")
        match follower.feed.list_items(may_be_stale=True):
            case FeedUnavailable():
                return False
            case FeedListing() as listing:
                view = adopt_stale_listing(
                    follower.board.read(follower.region), listing, version
                )
        if view is None:
            return False
        follower.board.write(follower.region, view, writer=self.name)
        return True


@define(kw_only=True, eq=False)
class ServerFollower:
    """Follow the registered servers by relayed changes or by the store.

    The store is queried while no other host of the failure domain has shown within
    `limit_s` seconds that it reaches the store.
    """

    feed_follower: FeedFollower[PublishedServer]
    limit_s: float
    watches: tuple[Region[Any], ...] = field(default=(RELAY_NOTICE,), init=False)

    @property
    def name(self) -> str:
        """Return the name under which this controller writes to the blackboard."""
        return self.feed_follower.name

    def step(self) -> float:
        """Wait for relayed changes or query the store; return seconds to wait."""
        follower, board = self.feed_follower, self.feed_follower.board
        now_s = follower.clock.monotonic_s()
        known, relay = board.read(follower.region), board.read(STORE_RELAY)
        match check_server_relay(known, relay, limit_s=self.limit_s, now_s=now_s):
            case QueryStore():
                return follower.step_when_due()
            case AwaitRelay(next_check_s=next_check_s):
                return next_check_s - now_s

    def receive_changes(self, changes: ServerChanges) -> None:
        """Apply changes to servers that another host has relayed."""
        follower = self.feed_follower
        now_s = follower.clock.monotonic_s()
        follower.board.update(
            follower.region,
            lambda view: apply_server_changes(view, changes, now_s=now_s),
            writer=self.name,
        )
