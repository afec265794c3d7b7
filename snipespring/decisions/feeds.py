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
    PublishedServer,
)
from .restores import (
    AdoptedEntry,
    KeptEntry,
    RefusedEntry,
    begin_era,
    is_born_later,
    is_store_behind,
    judge_entry,
    withdraw,
)

__all__ = [
    "SkippedItem",
    "adopt_stale_items",
    "apply_all_items",
    "apply_items",
    "apply_listing",
    "apply_watch_answer",
    "confirm_view",
    "is_restored",
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
    view: FeedView[T],
    listing: FeedListing[T],
    *,
    sent_s: float,
    now_s: float,
    recovered_s: float | None = None,
    grace_s: float = 0.0,
) -> tuple[FeedView[T], tuple[SkippedItem, ...]]:
    """Return the feed after a complete listing, and the items skipped as invalid.

    Items that are missing from the listing count as removed at `now_s`. A listing
    that is older than the feed only confirms that the store answers, one of an earlier
    era nothing. After a restore of the store, missing servers stay in use for
    `grace_s` seconds; `recovered_s` is the end of the last outage.
    """
    if listing.era < view.era:
        return view, ()
    if listing.era == view.era and listing.revision < (view.revision or 0):
        return confirm_view(view, sent_s=sent_s), ()
    if is_restored(view, listing.era):
        if view.is_stale:
            view = _drop_stale_items(view)
        view = begin_era(
            view, listing.era, recovered_s=recovered_s, grace_s=grace_s, now_s=now_s
        )
    view, skipped = apply_all_items(
        evolve(view, era=listing.era), listing.items, listing.revision, now_s
    )
    return confirm_view(view, sent_s=sent_s), skipped


def adopt_stale_items(
    listing: FeedListing[T], known: FeedView[T] | None = None
) -> FeedView[T]:
    """Return the feed from a first listing that may be stale and confirms nothing.

    What is `known` not to be used, from other hosts, stays out. The revision belongs to
    the era of the listing.
    """
    view = evolve(
        FeedView[T]() if known is None else known,
        revision=listing.revision,
        complete_after=listing.revision,
        era=listing.era,
        is_stale=True,
    )
    return apply_items(view, listing.items, listing.revision, 0.0)[0]


def apply_watch_answer(
    view: FeedView[T],
    answer: FeedChanges[T] | FeedGap,
    *,
    sent_s: float,
    now_s: float,
    begun_era: int | None = None,
) -> tuple[FeedView[T], tuple[SkippedItem, ...]]:
    """Return the feed after the answer to a watch, and the items skipped as invalid.

    After an answer of a newer era all items have to be listed again. The watch was sent
    with a revision of `begun_era`, by default that of the feed; another host may have
    relayed all items of a newer era meanwhile.
    """
    if answer.era < view.era:
        return view, ()
    if answer.era > view.era:
        return evolve(view, revision=None), ()
    if begun_era is not None and begun_era < answer.era:
        return view, ()
    match answer:
        case FeedChanges(revision=revision) if revision < (view.revision or 0):
            # Another host has relayed these changes and later ones meanwhile.
            return confirm_view(view, sent_s=sent_s), ()
        case FeedChanges(changes=changes, revision=revision):
            view, skipped = apply_items(view, changes, revision, now_s)
            view = evolve(view, revision=revision)
            return confirm_view(view, sent_s=sent_s), skipped
        case FeedGap():
            return evolve(view, revision=None), ()


def is_restored(view: FeedView[T], era: int) -> bool:
    """Return whether an answer of an era follows a restore since the last listing."""
    return era > view.era and view.complete_after is not None


def apply_all_items(
    view: FeedView[T],
    listed: tuple[FeedItem[T] | FeedItem[T | None], ...],
    revision: int,
    now_s: float,
) -> tuple[FeedView[T], tuple[SkippedItem, ...]]:
    """Return the feed with all items at a revision, and the items skipped as invalid.

    Known items that are not listed count as removed at `now_s`.
    """
    names = {item.name for item in listed}
    missing = tuple(
        FeedItem[T | None](name=name, revision=revision, content=None)
        for name in view.items
        if name not in names
    )
    # A listing does not name the items that were removed before it.
    view = evolve(view, revision=revision, complete_after=revision)
    # An item that the restored store does not show has not been removed.
    unrestored = view.unrestored.intersection(item.name for item in missing)
    view, skipped = apply_items(view, (*missing, *listed), revision, now_s)
    return evolve(view, unrestored=view.unrestored | unrestored), skipped


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
    if name in view.unrestored and view.unrestored_until_s is not None:
        removed_s = max(removed_s, view.unrestored_until_s)
    # A server that had been removed before the outage did not expire during it.
    if recovered_s is None or removed_s < recovered_s:
        return removed_s
    return max(removed_s, recovered_s + grace_s)


def apply_items(
    view: FeedView[T],
    changes: Iterable[FeedItem[T] | FeedItem[T | None]],
    revision: int,
    now_s: float,
) -> tuple[FeedView[T], tuple[SkippedItem, ...]]:
    """Return the feed after changes up to a revision, and the items skipped."""
    skipped: list[SkippedItem] = []
    for change in changes:
        name = change.name
        # Unknown and unchanged items are recorded too: another host that asks for the
        # changes may know an earlier state of them.
        view = evolve(view, changed=view.changed.set(name, revision))
        judgement = judge_entry(view, name, change.content)
        view = _apply_judgement(view, name, judgement, now_s)
        match judgement:
            case RefusedEntry(reason=reason) | KeptEntry(reason=reason) if (
                change.content is not None
            ):
                skipped.append(SkippedItem(name=name, reason=reason))
    return view, tuple(skipped)


def _apply_judgement(
    view: FeedView[T],
    name: str,
    judgement: AdoptedEntry | RefusedEntry | KeptEntry,
    now_s: float,
) -> FeedView[T]:
    removed, withdrawn, unrestored = view.removed_s, view.withdrawn, view.unrestored
    view = evolve(view, refused=view.refused - {name})
    if name not in removed:
        removed = removed.set(name, now_s)
    match judgement:
        case AdoptedEntry(content=content):
            if is_born_later(view, name, content):
                withdrawn = withdrawn.delete(name)
            return evolve(
                view,
                items=view.items.set(name, content),
                removed_s=removed.delete(name),
                withdrawn=withdrawn,
                unrestored=unrestored - {name},
            )
        case RefusedEntry(is_withdrawn=is_withdrawn):
            return evolve(
                view,
                removed_s=removed,
                unrestored=unrestored - {name},
                refused=view.refused | {name} if is_withdrawn else view.refused,
            )
        case KeptEntry(withdrawn_ms=int() as born_ms):
            withdrawn = withdraw(withdrawn, name, born_ms)
    return evolve(
        view, removed_s=removed, withdrawn=withdrawn, unrestored=unrestored | {name}
    )


def _drop_stale_items(view: FeedView[T]) -> FeedView[T]:
    """Return a stale feed of an earlier era without what it never had in force.

    The servers may have left before the restore, so they get no grace. A configuration
    stays, as its version never decreases, and so do hosts, which register again.
    """
    kept = {
        name: content
        for name, content in view.items.items()
        if not isinstance(content, PublishedServer)
    }
    return evolve(view, items=Map(kept), removed_s=Map())


def confirm_view(view: FeedView[T], *, sent_s: float) -> FeedView[T]:
    """Return the feed as confirmed by a request that was sent at `sent_s`.

    A store that has lost a configuration in a restore confirms nothing. Items of a
    stale view that have left since are dropped, so that they get no grace.
    """
    if view.is_stale:
        kept = {
            name: item
            for name, item in view.items.items()
            if name not in view.removed_s or name in view.unrestored
        }
        removed = {name: at for name, at in view.removed_s.items() if name in kept}
        view = evolve(view, items=Map(kept), removed_s=Map(removed), is_stale=False)
    if is_store_behind(view):
        return view
    return evolve(view, confirmed_s=max(sent_s, view.confirmed_s or sent_s))
