"""Update the local copies of feeds from answers of the store; list active servers."""

from collections.abc import Iterable
from math import inf
from typing import TypeVar

from attrs import evolve, frozen
from immutables import Map

from ..records import (
    FeedChanges,
    FeedGap,
    FeedItem,
    FeedListing,
    FeedView,
    InvalidItem,
    PublishedServer,
)

__all__ = [
    "SkippedItem",
    "adopt_stale_items",
    "apply_watch_answer",
    "apply_listing",
    "confirm_view",
    "list_active_servers",
    "next_removal_s",
]

T = TypeVar("T")


@frozen(kw_only=True)
class SkippedItem:
    """Report an item that was skipped because its content is invalid."""

    name: str
    reason: str


def apply_listing(
    view: FeedView[T], listing: FeedListing[T], *, sent_s: float, now_s: float
) -> tuple[FeedView[T], tuple[SkippedItem, ...]]:
    """Return the feed after a complete listing, and the items skipped as invalid.

    Items that are missing from the listing count as removed at `now_s`. A listing
    that is older than the feed only confirms that the store answers.
    """
    if view.revision is not None and listing.revision < view.revision:
        return confirm_view(view, sent_s=sent_s), ()
    items = view.items
    listed = {item.name for item in listing.items}
    missing = tuple(
        FeedItem[T | None](name=name, revision=listing.revision, content=None)
        for name in items
        if name not in listed
    )
    # A listing does not name the items that were removed before it.
    view = evolve(view, revision=listing.revision, complete_after=listing.revision)
    view, skipped = _apply_items(
        view, (*missing, *listing.items), listing.revision, now_s
    )
    return confirm_view(view, sent_s=sent_s), skipped


def adopt_stale_items(listing: FeedListing[T]) -> FeedView[T]:
    """Return the feed from a first listing that may be stale and confirms nothing."""
    view: FeedView[T] = FeedView(
        revision=listing.revision, complete_after=listing.revision, is_stale=True
    )
    return _apply_items(view, listing.items, listing.revision, 0.0)[0]


def apply_watch_answer(
    view: FeedView[T],
    answer: FeedChanges[T] | FeedGap,
    *,
    sent_s: float,
    now_s: float,
) -> tuple[FeedView[T], tuple[SkippedItem, ...]]:
    """Return the feed after the answer to a watch, and the items skipped as invalid."""
    match answer:
        case FeedChanges(revision=revision) if revision < (view.revision or 0):
            # Another host has relayed these changes and later ones meanwhile.
            return confirm_view(view, sent_s=sent_s), ()
        case FeedChanges(changes=changes, revision=revision):
            view, skipped = _apply_items(view, changes, revision, now_s)
            view = evolve(view, revision=revision)
            return confirm_view(view, sent_s=sent_s), skipped
        case FeedGap():
            return evolve(view, revision=None), ()


def list_active_servers(
    view: FeedView[PublishedServer],
    *,
    recovered_s: float | None,
    grace_s: float,
    now_s: float,
) -> tuple[PublishedServer, ...]:
    """Return the servers that may receive requests.

    A server found missing within `grace_s` seconds after the store recovered from an
    outage, at `recovered_s`, stays active until the end of that time: during an outage,
    the entry of a running server can expire because it cannot be renewed. A stale view
    gives none, since its servers may have left.
    """
    if view.is_stale:
        return ()
    return tuple(
        server
        for name, server in view.items.items()
        if not server.is_draining
        and now_s < _removal_time_s(view, name, recovered_s, grace_s)
    )


def next_removal_s(
    view: FeedView[PublishedServer],
    *,
    recovered_s: float | None,
    grace_s: float,
    now_s: float,
) -> float:
    """Return when the next removed server becomes inactive, or infinity."""
    times = (
        _removal_time_s(view, name, recovered_s, grace_s) for name in view.removed_s
    )
    return min((time_s for time_s in times if time_s > now_s), default=inf)


def _removal_time_s(
    view: FeedView[PublishedServer],
    name: str,
    recovered_s: float | None,
    grace_s: float,
) -> float:
    removed_s = view.removed_s.get(name)
    if removed_s is None:
        return inf
    # A server that had been removed before the outage did not expire during it.
    if recovered_s is None or removed_s < recovered_s:
        return removed_s
    return max(removed_s, recovered_s + grace_s)


def _apply_items(
    view: FeedView[T],
    changes: Iterable[FeedItem[T] | FeedItem[T | None]],
    revision: int,
    now_s: float,
) -> tuple[FeedView[T], tuple[SkippedItem, ...]]:
    items, removed, changed = view.items, view.removed_s, view.changed
    skipped: list[SkippedItem] = []
    for change in changes:
        name = change.name
        # Unknown and unchanged items are recorded too: another host that asks for the
        # changes may know an earlier state of them.
        changed = changed.set(name, revision)
        match change.content:
            case InvalidItem(reason=reason):
                skipped.append(SkippedItem(name=name, reason=reason))
                removed = removed if name in removed else removed.set(name, now_s)
            case None:
                removed = removed if name in removed else removed.set(name, now_s)
            case content:
                items = items.set(name, content)
                removed = removed.delete(name) if name in removed else removed
    view = evolve(view, items=items, removed_s=removed, changed=changed)
    return view, tuple(skipped)


def confirm_view(view: FeedView[T], *, sent_s: float) -> FeedView[T]:
    """Return the feed as confirmed by a request that was sent at `sent_s`.

    Items of a stale view that have left since are dropped, so that they get no grace.
    """
    if view.is_stale:
        kept = {
            name: item
            for name, item in view.items.items()
            if name not in view.removed_s
        }
        view = evolve(view, items=Map(kept), removed_s=Map(), is_stale=False)
    return evolve(view, confirmed_s=max(sent_s, view.confirmed_s or sent_s))
