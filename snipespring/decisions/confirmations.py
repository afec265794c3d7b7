"""Decide whether to query the store or use a confirmation from another host.

A confirmation states that a configuration version was the newest at some time.
"""

from attrs import evolve, frozen

from ..records import (
    Configuration,
    Confirmation,
    FeedListing,
    FeedView,
    RelayedVersion,
    RelayNotice,
    StoreReach,
    StoreRelay,
)
from .restores import is_store_behind, newest_version

__all__ = [
    "QueryStore",
    "ReadNewerVersion",
    "RelayLimits",
    "UseRelayedConfirmation",
    "adopt_stale_listing",
    "adopt_stated_version",
    "check_relay",
    "record_confirmation",
    "record_stated_version",
    "make_confirmation",
    "make_notice",
    "set_watcher",
]

# A relayed confirmation of the same version is recorded only if it is newer by so many
# seconds.
MIN_ADVANCE_S = 0.1


@frozen(kw_only=True)
class RelayLimits:
    """Limit in seconds how long relayed confirmations replace queries to the store.

    `confirmed_s` counts from the last confirmation of the version, `reached_s` from
    the last request of the watching host that the store answered.
    """

    confirmed_s: float
    reached_s: float


@frozen(kw_only=True)
class QueryStore:
    """Query the store now."""


@frozen(kw_only=True)
class ReadNewerVersion:
    """Read the configuration, of which a newer version has been relayed."""

    version: int


@frozen(kw_only=True)
class UseRelayedConfirmation:
    """Use a relayed confirmation; query the store at `next_query_s` at the latest."""

    view: FeedView[Configuration]
    next_query_s: float


def check_relay(
    view: FeedView[Configuration],
    relay: StoreRelay,
    limits: RelayLimits,
    *,
    now_s: float,
) -> QueryStore | ReadNewerVersion | UseRelayedConfirmation:
    """Return whether a relayed confirmation replaces a query to the store.

    A relayed confirmation of the current version confirms the local feed, unless a
    newer version was stated. The host queries the store itself if the last confirmation
    is too old, or if the host that watches may no longer reach the store.
    """
    if relay.is_watcher or view.confirmed_s is None:
        return QueryStore()
    version = newest_version(view)
    confirmed_s = reached_s = view.confirmed_s
    match relay.relayed:
        case RelayedVersion(
            version=relayed, is_store_behind=True, reached_s=until_s
        ) if relayed >= version and now_s < until_s + limits.reached_s:
            # The watching host will relay the version once the store has it again.
            return UseRelayedConfirmation(
                view=view, next_query_s=until_s + limits.reached_s
            )
    if relay.relayed is not None and relay.relayed.version > version:
        return ReadNewerVersion(version=relay.relayed.version)
    if relay.relayed is not None and relay.relayed.version == version:
        if version >= view.stated_version:
            confirmed_s = max(confirmed_s, relay.relayed.confirmed_s)
        reached_s = max(reached_s, relay.relayed.reached_s)
    until_s = min(confirmed_s + limits.confirmed_s, reached_s + limits.reached_s)
    if now_s >= until_s:
        return QueryStore()
    view = evolve(view, confirmed_s=confirmed_s)
    return UseRelayedConfirmation(view=view, next_query_s=until_s)


def make_confirmation(
    view: FeedView[Configuration], relay: StoreRelay, reach: StoreReach, *, now_s: float
) -> Confirmation | None:
    """Return the confirmation to relay, None before the first answer of the store."""
    if view.confirmed_s is None:
        return None
    reached_s = view.confirmed_s
    if reach.reached_s is not None:
        reached_s = max(reached_s, reach.reached_s)
    if relay.relayed is not None:
        reached_s = max(reached_s, relay.relayed.reached_s)
    return Confirmation(
        version=newest_version(view),
        age_s=now_s - view.confirmed_s,
        reached_age_s=now_s - reached_s,
        is_store_behind=is_store_behind(view),
        stated_version=max(view.stated_version, relay.stated_version),
    )


def record_confirmation(
    relay: StoreRelay, confirmation: Confirmation | None, *, sent_s: float
) -> StoreRelay:
    """Return the relay state after the answer to a report that was sent at `sent_s`.

    The answer gives the age of its confirmation at a time after `sent_s`. The time of
    the confirmation is taken as `sent_s` minus that age, and so is never too late.
    """
    if confirmation is None:
        return relay
    relay = record_stated_version(relay, confirmation.stated_version)
    known = relay.relayed
    relayed = RelayedVersion(
        version=confirmation.version,
        confirmed_s=sent_s - confirmation.age_s,
        reached_s=sent_s - confirmation.reached_age_s,
        is_store_behind=confirmation.is_store_behind,
    )
    if known is not None:
        if relayed.version < known.version:
            return relay
        if relayed.version == known.version:
            if not _is_advanced(relayed, known):
                return relay
            relayed = RelayedVersion(
                version=known.version,
                confirmed_s=max(relayed.confirmed_s, known.confirmed_s),
                reached_s=max(relayed.reached_s, known.reached_s),
                is_store_behind=relayed.is_store_behind,
            )
    return evolve(relay, relayed=relayed)


def adopt_stale_listing(
    view: FeedView[Configuration], listing: FeedListing[Configuration], version: int
) -> FeedView[Configuration] | None:
    """Return the feed with a configuration from a listing that may be stale.

    Return None if the listing does not have the relayed `version` or a newer one. A
    stale listing confirms nothing.
    """
    items = {
        item.name: item.content
        for item in listing.items
        if isinstance(item.content, Configuration)
    }
    newest = max((cfg.version for cfg in items.values()), default=0)
    if listing.era != view.era or listing.revision < (view.revision or 0):
        return None
    if newest < max(version, newest_version(view)):
        return None
    return evolve(
        view,
        items=view.items.update(items),
        revision=listing.revision,
        unrestored=view.unrestored.difference(items),
    )


def record_stated_version(relay: StoreRelay, version: int) -> StoreRelay:
    """Return the relay state after a host stated a configuration version it knows.

    The same object is returned if a newer version is known.
    """
    if version <= relay.stated_version:
        return relay
    return evolve(relay, stated_version=version)


def adopt_stated_version(
    view: FeedView[Configuration], relay: StoreRelay
) -> FeedView[Configuration]:
    """Return the feed, confirmed from now on only by the newest version stated."""
    stated = _newest_stated(relay)
    if stated <= view.stated_version:
        return view
    return evolve(view, stated_version=stated)


def make_notice(relay: StoreRelay) -> RelayNotice:
    """Return what of the relay the followers of the store react to at once."""
    relayed, awaited = relay.relayed, relay.awaited
    return RelayNotice(
        is_watcher=relay.is_watcher,
        version=_newest_stated(relay),
        awaited=0 if awaited is None else awaited.revision,
        awaited_era=0 if awaited is None else awaited.era,
        is_store_behind=relayed is not None and relayed.is_store_behind,
        is_reach_relayed=relayed is not None,
    )


def set_watcher(relay: StoreRelay, *, is_watcher: bool) -> StoreRelay:
    """Return the relay state with a role; the same object if nothing changes.

    A watcher queries the store for its failure domain.
    """
    if relay.is_watcher == is_watcher:
        return relay
    return evolve(relay, is_watcher=is_watcher)


def _is_advanced(relayed: RelayedVersion, known: RelayedVersion) -> bool:
    return (
        relayed.is_store_behind != known.is_store_behind
        or relayed.confirmed_s >= known.confirmed_s + MIN_ADVANCE_S
        or relayed.reached_s >= known.reached_s + MIN_ADVANCE_S
    )


def _newest_stated(relay: StoreRelay) -> int:
    relayed = 0 if relay.relayed is None else relay.relayed.version
    return max(relay.stated_version, relayed)
