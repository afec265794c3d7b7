"""Follow the evacuated failure domains by digests or by the store."""

from typing import Any

from attrs import define, evolve, field

from ..blackboard import Region
from ..blackboard.regions import EVACUATIONS, RELAY_NOTICE, STORE_RELAY
from ..decisions.confirmations import QueryStore
from ..decisions.places import (
    apply_evacuation_mark,
    check_evacuation_relay,
    confirm_evacuations,
)
from ..decisions.server_relay import AwaitRelay
from ..records import (
    Evacuation,
    EvacuationMark,
    EvacuationsFollowed,
    EvacuationsState,
    EvacuationsUnused,
    FeedView,
)
from .feed_follower import FeedFollower

__all__ = ["EvacuationFollower"]


@define(kw_only=True, eq=False)
class EvacuationFollower:
    """Write the feed and the state of evacuations.

    The store is queried by the host that watches it for its failure domain, and by
    the others while no digest has shown for `limit_s` seconds that their list is up
    to date.
    """

    feed_follower: FeedFollower[Evacuation]
    limit_s: float
    watches: tuple[Region[Any], ...] = field(default=(RELAY_NOTICE,), init=False)
    # A list that digests gave names only domains that their sender knows.
    _is_relayed: bool = field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        """State that this host follows evacuations."""
        board, since_s = self.feed_follower.board, self._now_s()
        board.write(EVACUATIONS, EvacuationsFollowed(since_s=since_s), writer=self.name)

    @property
    def name(self) -> str:
        """Return the name under which this controller writes to the blackboard."""
        return self.feed_follower.name

    def step(self) -> float:
        """Wait for digests or query the store; return seconds to wait."""
        board, now_s = self.feed_follower.board, self._now_s()
        match check_evacuation_relay(
            board.read(EVACUATIONS),
            board.read(STORE_RELAY),
            limit_s=self.limit_s,
            now_s=now_s,
        ):
            case QueryStore():
                return self._query()
            case AwaitRelay(next_check_s=next_check_s):
                return next_check_s - now_s

    def receive_mark(
        self, mark: EvacuationMark | None, reached_s: float | None
    ) -> None:
        """Use a digest; its sender reached the store at `reached_s`, if it knows."""
        follower, now_s = self.feed_follower, self._now_s()

        def apply(
            before: FeedView[Evacuation],
        ) -> tuple[FeedView[Evacuation], FeedView[Evacuation]]:
            after = apply_evacuation_mark(
                before, mark, now_s=now_s, grace_s=follower.outage_s
            )
            return after, before

        known = follower.board.read(follower.region)
        if apply_evacuation_mark(known, mark, now_s=now_s) is not known:
            self._is_relayed = True
            before = follower.board.transact(follower.region, apply, writer=self.name)
            follower.record_restore(before, follower.board.read(follower.region))
        if reached_s is not None:
            self._confirm(mark, reached_s)

    def _query(self) -> float:
        follower = self.feed_follower
        if not follower.is_due():
            return follower.step_when_due()
        before_s = follower.board.read(follower.region).confirmed_s
        is_relayed, self._is_relayed = self._is_relayed, False
        pause_s = follower.query_when_allowed(is_behind=is_relayed)
        confirmed_s = follower.board.read(follower.region).confirmed_s
        if confirmed_s is not None and confirmed_s != before_s:
            self._set_confirmed(confirmed_s)
        elif is_relayed:
            self._is_relayed = True
        return pause_s

    def _confirm(self, mark: EvacuationMark | None, reached_s: float) -> None:
        board = self.feed_follower.board
        view = board.read(self.feed_follower.region)
        board.update(
            EVACUATIONS,
            lambda state: confirm_evacuations(state, view, mark, reached_s=reached_s),
            writer=self.name,
        )

    def _set_confirmed(self, confirmed_s: float) -> None:
        def confirm(state: EvacuationsState) -> EvacuationsState:
            match state:
                case EvacuationsUnused():
                    return state
                case EvacuationsFollowed():
                    return evolve(state, confirmed_s=confirmed_s)

        self.feed_follower.board.update(EVACUATIONS, confirm, writer=self.name)

    def _now_s(self) -> float:
        return self.feed_follower.clock.monotonic_s()
