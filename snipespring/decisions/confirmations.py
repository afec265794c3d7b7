"""Decide whether to query the store or use a confirmation from another host.

A confirmation states that a configuration version was the newest at some time.
"""

from attrs import evolve, frozen

from ..records import (
    Configuration,
    Confirmation,
    FeedView,
    RelayedVersion,
    StoreRelay,
)

__all__ = [
    "QueryStore",
    "UseRelayedConfirmation",
    "check_relay",
    "record_confirmation",
    "make_confirmation",
    "set_watcher",
]

# A relayed confirmation of the same version is recorded only if it is newer by so many
# seconds, since each write to the relay region wakes the controllers that watch it.
MIN_ADVANCE_S = 0.3


@frozen(kw_only=True)
class QueryStore:
    """Query the store now."""


@frozen(kw_only=True)
class UseRelayedConfirmation:
    """Use a relayed confirmation; query the store at `next_query_s` at the latest."""

    view: FeedView[Configuration]
    next_query_s: float


def check_relay(
    view: FeedView[Configuration], relay: StoreRelay, *, limit_s: float, now_s: float
) -> QueryStore | UseRelayedConfirmation:
    """Return whether a relayed confirmation replaces a query to the store.

    A relayed confirmation of the current version confirms the local feed. The host
    queries the store itself if a newer version is relayed, or if the last
    confirmation is `limit_s` seconds old.
    """
    if relay.is_watcher or view.confirmed_s is None:
        return QueryStore()
    version, confirmed_s = _newest_version(view), view.confirmed_s
    if relay.relayed is not None and relay.relayed.version > version:
        return QueryStore()
    if relay.relayed is not None and relay.relayed.version == version:
        confirmed_s = max(confirmed_s, relay.relayed.confirmed_s)
    if now_s >= confirmed_s + limit_s:
        return QueryStore()
    view = evolve(view, confirmed_s=confirmed_s)
    return UseRelayedConfirmation(view=view, next_query_s=confirmed_s + limit_s)


def make_confirmation(
    view: FeedView[Configuration], *, now_s: float
) -> Confirmation | None:
    """Return the confirmation to relay, None before the first answer of the store."""
    if view.confirmed_s is None:
        return None
    age_s = now_s - view.confirmed_s
    return Confirmation(version=_newest_version(view), age_s=age_s)


def record_confirmation(
    relay: StoreRelay, confirmation: Confirmation | None, *, sent_s: float
) -> StoreRelay:
    """Return the relay state after the answer to a report that was sent at `sent_s`.

    The answer gives the age of its confirmation at a time after `sent_s`. The time of
    the confirmation is taken as `sent_s` minus that age, and so is never too late.
    """
    if confirmation is None:
        return relay
    known = relay.relayed
    confirmed_s = sent_s - confirmation.age_s
    if known is not None:
        is_newer = confirmation.version > known.version
        is_refreshed = (
            confirmation.version == known.version
            and confirmed_s >= known.confirmed_s + MIN_ADVANCE_S
        )
        if not (is_newer or is_refreshed):
            return relay
    relayed = RelayedVersion(version=confirmation.version, confirmed_s=confirmed_s)
    return evolve(relay, relayed=relayed)


def set_watcher(relay: StoreRelay, *, is_watcher: bool) -> StoreRelay:
    """Return the relay state with a role; the same object if nothing changes.

    A watcher queries the store for its failure domain.
    """
    if relay.is_watcher == is_watcher:
        return relay
    return evolve(relay, is_watcher=is_watcher)


def _newest_version(view: FeedView[Configuration]) -> int:
    return max((cfg.version for cfg in view.items.values()), default=0)
