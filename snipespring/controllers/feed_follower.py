"""Follow the feeds of the platform's store.

A host does not query the store for the configuration while another host relays recent
confirmations that the version in use is still the newest.
"""

from collections.abc import Callable
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from attrs import define, evolve, field

from ..blackboard import Board, Region
from ..blackboard.regions import RELAY_NOTICE, STORE_ERA, STORE_RELAY
from ..decisions.confirmations import (
    QueryStore,
    ReadNewerVersion,
    RelayLimits,
    UseRelayedConfirmation,
    adopt_stale_listing,
    adopt_stated_version,
    check_relay,
)
from ..decisions.feeds import SkippedItem, apply_listing, apply_watch_answer
from ..decisions.membership import draw_backoff_s
from ..decisions.outages import extend_span
from ..decisions.restores import is_store_behind
from ..decisions.server_relay import (
    AwaitRelay,
    apply_server_changes,
    check_server_relay,
    is_of_earlier_era,
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
from .store_availability import read_recovery_s

__all__ = ["ConfigurationFollower", "Feed", "FeedFollower", "ServerFollower"]

T = TypeVar("T")

MAX_BACKOFF_S = 0.5  # limits the time until a recovered store is queried again
# Pause after a change, so that the next answer carries several changes.
CHANGE_BATCH_PAUSE_S = 0.4
# After a restore, hosts that do not watch for their domain list within this time, and
# most of them learn of the servers from the watching host before: 300 hosts that list
# 150 servers and the configuration call the store 1,200 times a second.
RELIST_SPREAD_S = 1.0
# Longest pause before the store is asked again for a configuration that it has lost.
LOST_VERSION_PAUSE_S = 0.5


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
        if known.revision is not None and self._read_era() > known.era:
            return self.discard_revision()
        is_behind = is_behind or self._failures > 0
        if known.revision is None or (self.lists_when_behind and is_behind):
            self.metrics.count("store_calls", f"{self.name}_list")
            listed = self.feed.list_items()
            match listed:
                case FeedListing():
                    now_s = self.clock.monotonic_s()
                    recovered_s = read_recovery_s(self.board, outage_s=self.outage_s)
                    return self._update_view(
                        lambda view: apply_listing(
                            view,
                            listed,
                            sent_s=sent_s,
                            now_s=now_s,
                            recovered_s=recovered_s,
                            grace_s=self.outage_s,
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
                        view,
                        answer,
                        sent_s=sent_s,
                        now_s=now_s,
                        begun_era=known.era,
                    )
                )
                if self.board.read(self.region).era < answer.era:
                    return self.discard_revision()
                return CHANGE_BATCH_PAUSE_S if _has_changes(answer) else pause_s

    def discard_revision(self) -> float:
        """Let the items be listed again after a restore; return the pause in seconds.

        The host that watches for its domain lists at once, the others spread their
        calls.
        """
        self.board.update(
            self.region, lambda view: evolve(view, revision=None), writer=self.name
        )
        is_watcher = self.board.read(RELAY_NOTICE).is_watcher
        pause_s = 0.0 if is_watcher else self.rng.uniform(0.0, RELIST_SPREAD_S)
        self._next_step_s = self.clock.monotonic_s() + pause_s
        return pause_s

    def record_restore(self, before: FeedView[T], after: FeedView[T]) -> None:
        """Record that the items were taken over from a restored store."""
        if after.era <= before.era or before.complete_after is None:
            return
        self.metrics.count("store_relists", self.name)
        self._record(
            f"store era {after.era} after {before.era}: {len(after.items)} known, "
            f"{len(after.unrestored)} not written again yet, "
            f"{len(after.withdrawn)} withdrawn for good"
        )

    def _read_era(self) -> int:
        return self.board.read(STORE_ERA).era or 0

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

        def apply(
            before: FeedView[T],
        ) -> tuple[FeedView[T], tuple[FeedView[T], tuple[SkippedItem, ...]]]:
            view, skipped = change(before)
            span = extend_span(view.available, now_s, outage_s=self.outage_s)
            return evolve(view, available=span), (before, skipped)

        before, skipped = self.board.transact(self.region, apply, writer=self.name)
        after = self.board.read(self.region)
        self.record_restore(before, after)
        if self._failures:
            self._record(f"store recovered after {self._failures} failed calls")
        self._failures = 0
        for item in skipped:
            self._record(f"skipped item {item.name}: {item.reason}")
        if self.lists_when_behind and is_store_behind(after):
            return self.rng.uniform(0.5, 1.0) * LOST_VERSION_PAUSE_S
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
        relay = board.read(STORE_RELAY)
        known = board.update(
            follower.region,
            lambda view: adopt_stated_version(view, relay),
            writer=self.name,
        )
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
                if known.revision is not None and is_of_earlier_era(known, relay):
                    return follower.discard_revision()
                return follower.step_when_due()
            case AwaitRelay(next_check_s=next_check_s):
                return next_check_s - now_s

    def receive_changes(self, changes: ServerChanges) -> None:
        """Apply changes to servers that another host has relayed."""
        follower = self.feed_follower
        board, outage_s = follower.board, follower.outage_s
        now_s = follower.clock.monotonic_s()
        recovered_s = read_recovery_s(board, outage_s=outage_s)

        def apply(
            before: FeedView[PublishedServer],
        ) -> tuple[FeedView[PublishedServer], FeedView[PublishedServer]]:
            after = apply_server_changes(
                before,
                changes,
                now_s=now_s,
                recovered_s=recovered_s,
                grace_s=outage_s,
            )
            return after, before

        before = board.transact(follower.region, apply, writer=self.name)
        follower.record_restore(before, board.read(follower.region))
