"""Follow the operators' configuration.

A host does not query the store for it while another host relays recent confirmations
that the version in use is still the newest.
"""

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
    ReadNewerVersion,
    RelayLimits,
    UseRelayedConfirmation,
    adopt_stale_listing,
    adopt_stated_version,
    check_relay,
)
from ..decisions.first_reads import (
    AwaitFirstRelay,
    ConfirmFirstRead,
    check_first_configuration,
)
from ..records import (
    Configuration,
    FeedListing,
    FeedUnavailable,
    FeedView,
    StoreRelay,
)
from .feed_follower import FeedFollower

__all__ = ["ConfigurationFollower"]

# A watching host whose confirmation is older than this share of the limit has just
# begun to watch, and reads the configuration instead of waiting for a change.
LATE_CONFIRMATION_SHARE = 0.6


@define(kw_only=True, eq=False)
class ConfigurationFollower:
    """Follow the configuration by relayed confirmations or by the store.

    The store is queried once the relayed confirmations exceed the limits.
    """

    feed_follower: FeedFollower[Configuration]
    limits: RelayLimits
    _tried_version: int = field(default=0, init=False)
    watches: tuple[Region[Any], ...] = field(
        default=(RELAY_NOTICE, STORE_REACH), init=False
    )

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
        if follower.is_unread() and not relay.is_watcher:
            return follower.read_stale_when_due()
        if known.is_stale:
            return self._complete_first_read(known, relay, now_s)
        match check_relay(known, relay, self.limits, now_s=now_s):
            case ReadNewerVersion(version=version) if (
                follower.is_due() and self._read_version(version)
            ):
                return 0.0
            case ReadNewerVersion():
                return follower.step_when_due(is_behind=True)
            case QueryStore():
                is_late = known.confirmed_s is not None and (
                    now_s - known.confirmed_s
                    > LATE_CONFIRMATION_SHARE * self.limits.confirmed_s
                )
                return follower.query_when_allowed(
                    is_behind=is_late and relay.is_watcher
                )
            case UseRelayedConfirmation(view=view, next_query_s=next_query_s):
                if view != known:
                    board.write(follower.region, view, writer=self.name)
                return next_query_s - now_s

    def _complete_first_read(
        self, known: FeedView[Configuration], relay: StoreRelay, now_s: float
    ) -> float:
        follower = self.feed_follower
        decision = check_first_configuration(
            known,
            relay,
            limit_s=self.limits.confirmed_s,
            latest_s=follower.find_fresh_read_s(),
            now_s=now_s,
        )
        match decision:
            case ReadNewerVersion(version=version) if (
                follower.is_due() and self._read_version(version)
            ):
                return 0.0
            case ReadNewerVersion() | QueryStore():
                return follower.list_when_due(known, relay)
            case AwaitFirstRelay(next_check_s=next_check_s):
                return next_check_s - now_s
            case ConfirmFirstRead(sent_s=sent_s):
                follower.confirm_first_read(sent_s)
                return 0.0

    def _read_version(self, version: int) -> bool:
        """Read a version by a stale read, which costs least; return whether it has it.

        Each version is tried once, so that a store that lags is asked for fresh data.
        """
        if version <= self._tried_version:
            return False
        self._tried_version = version
        follower = self.feed_follower
        match follower.list_items("stale", may_be_stale=True):
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
