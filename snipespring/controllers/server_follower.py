"""Follow the registered servers, by the changes that other hosts relay or the store."""

from typing import Any

from attrs import define, field

from ..blackboard import Region
from ..blackboard.regions import (
    RELAY_NOTICE,
    STORE_REACH,
    STORE_RELAY,
)
from ..decisions.confirmations import (
    QueryStore,
)
from ..decisions.first_reads import (
    AwaitFirstRelay,
    ConfirmFirstRead,
    check_first_servers,
)
from ..decisions.server_relay import (
    AwaitRelay,
    apply_server_changes,
    check_server_relay,
    is_of_earlier_era,
)
from ..records import (
    FeedView,
    PublishedServer,
    ServerChanges,
    StoreRelay,
)
from .feed_follower import FeedFollower
from .store_availability import read_recovery_s

__all__ = ["ServerFollower"]


@define(kw_only=True, eq=False)
class ServerFollower:
    """Follow the registered servers by relayed changes or by the store.

    The store is queried while no other host of the failure domain has shown within
    `limit_s` seconds that it reaches the store.
    """

    feed_follower: FeedFollower[PublishedServer]
    limit_s: float
    watches: tuple[Region[Any], ...] = field(
        default=(RELAY_NOTICE, STORE_REACH), init=False
    )

    @property
    def name(self) -> str:
        """Return the name under which this controller writes to the blackboard."""
        return self.feed_follower.name

    def step(self) -> float:
        """Wait for relayed changes or query the store; return seconds to wait."""
        follower, board = self.feed_follower, self.feed_follower.board
        now_s = follower.clock.monotonic_s()
        known, relay = board.read(follower.region), board.read(STORE_RELAY)
        if follower.is_unread() and not relay.is_watcher:
            return follower.read_stale_when_due()
        if known.is_stale:
            return self._complete_first_read(known, relay, now_s)
        match check_server_relay(known, relay, limit_s=self.limit_s, now_s=now_s):
            case QueryStore():
                if known.revision is not None and is_of_earlier_era(known, relay):
                    return follower.discard_revision()
                return follower.query_when_allowed()
            case AwaitRelay(next_check_s=next_check_s):
                return next_check_s - now_s

    def _complete_first_read(
        self, known: FeedView[PublishedServer], relay: StoreRelay, now_s: float
    ) -> float:
        follower = self.feed_follower
        decision = check_first_servers(
            known,
            relay,
            limit_s=self.limit_s,
            latest_s=follower.find_fresh_read_s(),
            now_s=now_s,
        )
        match decision:
            case QueryStore():
                return follower.list_when_due(known, relay)
            case AwaitFirstRelay(next_check_s=next_check_s):
                return next_check_s - now_s
            case ConfirmFirstRead(sent_s=sent_s):
                follower.confirm_first_read(sent_s)
                return 0.0

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
