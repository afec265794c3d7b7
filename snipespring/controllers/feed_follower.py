"""Read and watch one feed of the platform's store."""

from collections.abc import Callable
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from attrs import define, evolve, field

from ..blackboard import Board, Region
from ..blackboard.regions import (
    HOST_FEED,
    RELAY_NOTICE,
    STORE_ERA,
    STORE_REACH,
    STORE_RELAY,
)
from ..decisions.feeds import (
    SkippedItem,
    adopt_stale_items,
    apply_listing,
    apply_watch_answer,
    confirm_view,
)
from ..decisions.first_reads import (
    FirstReadLimits,
    is_hub_restored,
    latest_fresh_read_s,
)
from ..decisions.membership import draw_backoff_s
from ..decisions.outages import extend_span
from ..decisions.restores import is_store_behind
from ..decisions.store_calls import earliest_call_s, find_reach_s
from ..records import (
    FeedChanges,
    FeedGap,
    FeedListing,
    FeedUnavailable,
    FeedView,
    StoreRelay,
    StoreStep,
)
from ..utils import Clock
from .historian import EventRecorder
from .metrics_recorder import MetricsRecorder
from .store_availability import read_recovery_s

__all__ = ["Feed", "FeedFollower", "count_listing"]

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
# After this many failed calls in a row, only probes, which cost less, test the store.
PROMPT_RETRIES = 2
# A host asks again after this time even if no probe was answered. A stale read costs as
# little as a probe.
RETRY_INTERVAL_S = 10.0
STALE_RETRY_S = 2.0
# How often a host checks whether the store has answered a probe or the relay is back.
RECHECK_INTERVAL_S = 0.25


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
    first_reads: FirstReadLimits = field(factory=FirstReadLimits)
    watches: tuple[Region[Any], ...] = field(default=(), init=False)
    _next_step_s: float = field(default=0.0, init=False)
    _failures: int = field(default=0, init=False)
    _failed_s: float = field(default=0.0, init=False)
    _retry_s: float = field(default=0.0, init=False)
    _started_s: float | None = field(default=None, init=False)
    _spread_share: float = field(default=0.0, init=False)

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
        is_unknown = known.revision is None or known.is_stale
        if is_unknown or (self.lists_when_behind and is_behind):
            listed = self.list_items("list")
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
        answer = self.feed.watch(after=known.revision or 0, wait_s=self.wait_s)
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

    def list_items(
        self, purpose: str, *, may_be_stale: bool = False
    ) -> FeedListing[T] | FeedUnavailable:
        """List the items and count the calls by their purpose."""
        listed = self.feed.list_items(may_be_stale=may_be_stale)
        count_listing(self.metrics, f"{self.name}_{purpose}", listed)
        return listed

    def is_due(self) -> bool:
        """Return whether the pause after the last step is over."""
        return self.clock.monotonic_s() >= self._find_due_s()

    def is_unread(self) -> bool:
        """Return whether nothing has been read since the start, even if stale."""
        known = self.board.read(self.region)
        return (
            known.revision is None
            and known.complete_after is None
            and known.confirmed_s is None
        )

    def read_stale_when_due(self) -> float:
        """Read a first listing that may be stale; return seconds to wait."""
        now_s = self.clock.monotonic_s()
        if self._started_s is None:
            self._started_s, self._spread_share = now_s, self.rng.random()
        if now_s < self._next_step_s:
            return self._next_step_s - now_s
        match self.list_items("first", may_be_stale=True):
            case FeedUnavailable() as failure:
                self._handle_failure(failure)
                pause_s = draw_backoff_s(
                    self._failures, max_s=STALE_RETRY_S, rng=self.rng
                )
                self._next_step_s = self.clock.monotonic_s() + pause_s
                return pause_s
            case FeedListing() as listing:
                self.board.update(
                    self.region,
                    lambda known: adopt_stale_items(listing, known),
                    writer=self.name,
                )
                self._failures = 0
                return 0.0

    def find_fresh_read_s(self) -> float:
        """Return until when a hub may complete the first listing."""
        return latest_fresh_read_s(
            self.board.read(HOST_FEED),
            self.first_reads,
            started_s=self._started_s or 0.0,
            share=self._spread_share,
        )

    def confirm_first_read(self, sent_s: float) -> None:
        """Put the first listing in force, which a hub has completed."""
        self.board.update(
            self.region,
            lambda view: confirm_view(view, sent_s=sent_s),
            writer=self.name,
        )
        self.metrics.count("store_relayed", f"{self.name}_first")

    def step_when_due(self, *, is_behind: bool = False) -> float:
        """Do one step unless the pause after the last one lasts; return seconds."""
        if not self.is_due():
            wait_s = self._find_due_s() - self.clock.monotonic_s()
            is_gated = self._failures >= PROMPT_RETRIES
            return min(wait_s, RECHECK_INTERVAL_S) if is_gated else wait_s
        pause_s = self.step(is_behind=is_behind)
        self._next_step_s = self.clock.monotonic_s() + pause_s
        return pause_s

    def list_when_due(self, known: FeedView[T], relay: StoreRelay) -> float:
        """List fresh instead of a stale listing; return seconds to wait.

        The calls are spread if a hub has shown that the listing precedes a restore.
        """
        if known.revision is not None and is_hub_restored(known, relay):
            return self.discard_revision()
        return self.step_when_due()

    def query_when_allowed(self, *, is_behind: bool = False) -> float:
        """Query the store unless a probe or the hubs come first; return seconds."""
        now_s = self.clock.monotonic_s()
        call_s = earliest_call_s(
            self.board.read(STORE_RELAY),
            self.board.read(STORE_REACH),
            now_s=now_s,
        )
        if call_s is None:
            return RECHECK_INTERVAL_S
        if now_s < call_s:
            return min(call_s - now_s, RECHECK_INTERVAL_S)
        return self.step_when_due(is_behind=is_behind)

    def _find_due_s(self) -> float:
        if self._failures < PROMPT_RETRIES:
            return self._next_step_s
        reached_s = find_reach_s(
            self.board.read(STORE_RELAY), self.board.read(STORE_REACH)
        )
        if reached_s is not None and reached_s > self._failed_s:
            return self._next_step_s
        return max(self._next_step_s, self._failed_s + self._retry_s)

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
        self._failed_s = self.clock.monotonic_s()
        self._retry_s = RETRY_INTERVAL_S * self.rng.uniform(0.75, 1.25)
        self.metrics.count("store_failures", self.name)
        return draw_backoff_s(self._failures, max_s=MAX_BACKOFF_S, rng=self.rng)

    def _record(self, evidence: str) -> None:
        event = StoreStep(
            at_wall_s=self.clock.wall_s(), feed=self.name, evidence=evidence
        )
        self.event_recorder.record(event)


def count_listing(
    metrics: MetricsRecorder, label: str, listed: FeedListing[Any] | FeedUnavailable
) -> None:
    """Count the calls of a listing, one for each page."""
    match listed:
        case FeedListing(calls=calls):
            metrics.count("store_calls", label, calls)
        case FeedUnavailable():
            metrics.count("store_calls", label)


def _has_changes(answer: FeedChanges[T] | FeedGap) -> bool:
    match answer:
        case FeedChanges(changes=changes):
            return bool(changes)
        case FeedGap():
            return False
