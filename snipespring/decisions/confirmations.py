"""Decide whether a host asks the store or relies on what another host relays."""

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

MIN_ADVANCE_S = 0.3  # a confirmation that is hardly younger wakes nobody


@frozen(kw_only=True)
class QueryStore:
    """Ask the store now."""


@frozen(kw_only=True)
class UseRelayedConfirmation:
    """Hold the feed as confirmed, and when it is to be confirmed again."""

    view: FeedView[Configuration]
    next_query_s: float


def check_relay(
    view: FeedView[Configuration], relay: StoreRelay, *, limit_s: float, now_s: float
) -> QueryStore | UseRelayedConfirmation:
    """Return whether the feed is confirmed well enough without a question.

    A relayed confirmation of the version held confirms it here. One of a newer
    version, or none for `limit_s` seconds, makes the host ask by itself.
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
    """Return what another host may rely on, None before the first answer."""
    if view.confirmed_s is None:
        return None
    age_s = now_s - view.confirmed_s
    return Confirmation(version=_newest_version(view), age_s=age_s)


def record_confirmation(
    relay: StoreRelay, confirmation: Confirmation | None, *, sent_s: float
) -> StoreRelay:
    """Return the relay after the answer to a report that was sent at `sent_s`.

    The answer was made later, so that its age counts from `sent_s` at the earliest.
    """
    if confirmation is None:
        return relay
    held = relay.relayed
    confirmed_s = sent_s - confirmation.age_s
    if held is not None:
        is_newer = confirmation.version > held.version
        is_younger = (
            confirmation.version == held.version
            and confirmed_s >= held.confirmed_s + MIN_ADVANCE_S
        )
        if not (is_newer or is_younger):
            return relay
    relayed = RelayedVersion(version=confirmation.version, confirmed_s=confirmed_s)
    return evolve(relay, relayed=relayed)


def set_watcher(relay: StoreRelay, *, is_watcher: bool) -> StoreRelay:
    """Return the relay in which this host watches the store, or does not."""
    if relay.is_watcher == is_watcher:
        return relay
    return evolve(relay, is_watcher=is_watcher)


def _newest_version(view: FeedView[Configuration]) -> int:
    return max((one.version for one in view.items.values()), default=0)
