"""Pass changes to the registered servers on from one host of a failure domain.

Revisions are those of the store, so that changes from several hosts can be combined.
They are compared within one era only. A host that learns of a later era asks for all
servers.
"""

from collections.abc import Iterable

from attrs import evolve, frozen

from ..records import (
    AwaitedServers,
    FeedItem,
    FeedView,
    HostId,
    PublishedServer,
    ServerChange,
    ServerChanges,
    ServerMark,
    ServerQuery,
    StoreRelay,
)
from .confirmations import QueryStore
from .feeds import apply_all_items, apply_items, is_restored
from .restores import (
    MAX_WITHDRAWALS,
    begin_era,
    list_withdrawals,
    merge_withdrawals,
)

__all__ = [
    "AwaitRelay",
    "answer_server_query",
    "apply_server_changes",
    "check_server_relay",
    "is_of_earlier_era",
    "make_server_mark",
    "make_server_query",
    "record_server_mark",
]

# A reply with more changes might not fit into one datagram.
MAX_CHANGES = 256
# A host that is behind for longer queries the store itself.
MAX_BEHIND_S = 0.6


@frozen(kw_only=True)
class AwaitRelay:
    """Use the relayed changes; check again at `next_check_s` at the latest."""

    next_check_s: float


def check_server_relay(
    view: FeedView[PublishedServer], relay: StoreRelay, *, limit_s: float, now_s: float
) -> QueryStore | AwaitRelay:
    """Return whether relayed changes replace a query to the store.

    They do while the watching host, or this one, has reached the store within
    `limit_s` seconds.
    """
    if relay.is_watcher or view.revision is None or view.confirmed_s is None:
        return QueryStore()
    reached_s = view.confirmed_s
    if relay.relayed is not None:
        reached_s = max(reached_s, relay.relayed.reached_s)
    until_s = reached_s + limit_s
    if relay.awaited is not None:
        until_s = min(until_s, relay.awaited.since_s + MAX_BEHIND_S)
    return QueryStore() if now_s >= until_s else AwaitRelay(next_check_s=until_s)


def is_of_earlier_era(view: FeedView[PublishedServer], relay: StoreRelay) -> bool:
    """Return whether changes of a later era than that of the feed are awaited."""
    return relay.awaited is not None and relay.awaited.era > view.era


def make_server_mark(view: FeedView[PublishedServer]) -> ServerMark | None:
    """Return up to which revision the servers are known, None before a confirmation."""
    if view.revision is None or view.is_stale:
        return None
    withdrawn = min(len(view.withdrawn), MAX_WITHDRAWALS)
    return ServerMark(revision=view.revision, era=view.era, withdrawn=withdrawn)


def make_server_query(
    view: FeedView[PublishedServer], mark: ServerMark | None, own_id: HostId
) -> ServerQuery | None:
    """Return the query for what another host knows and this one does not, or None."""
    if mark is None or view.complete_after is None:
        return None
    known = view.revision
    if mark.era < view.era or (mark.era == view.era and known is None):
        return None
    is_behind = mark.era > view.era or mark.revision > (known or 0)
    if not is_behind and mark.withdrawn <= len(view.withdrawn):
        return None
    return ServerQuery(
        sender=own_id,
        after=known or 0,
        is_first=view.is_stale,
        era=view.era,
        withdrawn=len(view.withdrawn),
    )


def record_server_mark(
    relay: StoreRelay,
    view: FeedView[PublishedServer],
    mark: ServerMark | None,
    *,
    now_s: float,
) -> StoreRelay:
    """Return the relay state after a digest; the same object if nothing changes."""
    awaited, known = relay.awaited, (view.era, view.revision or 0)
    # A late mark of an earlier era says nothing of the restored store.
    newest_era = 0 if relay.servers is None else relay.servers.era
    if mark is not None and mark != relay.servers and mark.era >= newest_era:
        relay = evolve(relay, servers=mark)
    if awaited is not None and (awaited.era, awaited.revision) > known:
        return relay
    if mark is not None and (mark.era, mark.revision) > known:
        awaited = AwaitedServers(revision=mark.revision, era=mark.era, since_s=now_s)
    else:
        awaited = None
    return relay if awaited == relay.awaited else evolve(relay, awaited=awaited)


def answer_server_query(
    view: FeedView[PublishedServer],
    query: ServerQuery,
    own_id: HostId,
    *,
    recovered_age_s: float | None,
) -> ServerChanges | None:
    """Return the changes after a revision, None if there are none or too many.

    None is returned too if changes are asked for that this host may not know. A query
    of an earlier era is answered with all servers, and so is one for which a complete
    list will do.
    """
    if view.revision is None or view.complete_after is None or view.is_stale:
        return None
    if query.era > view.era:
        return None
    is_newer = query.era < view.era
    is_complete = is_newer or query.after < view.complete_after
    if is_complete and not (is_newer or query.is_first):
        return None
    after = 0 if is_newer else query.after
    changed = {name for name, revision in view.changed.items() if revision > after}
    is_informed = len(view.withdrawn) <= query.withdrawn and not is_complete
    withdrawn = list_withdrawals(view, changed if is_informed else view.withdrawn)
    if after > view.revision or (after == view.revision and not withdrawn):
        return None
    if is_complete:
        registered = {name for name in view.items if name not in view.removed_s}
        # Of a newer era, those that have left since the restore are named too, since an
        # absent server may not have been written again.
        changed = registered | changed if is_newer else registered
    changes = _list_changed(view, changed)
    if len(changes) > MAX_CHANGES:
        return None
    return ServerChanges(
        sender=own_id,
        after=after,
        until=view.revision,
        recovered_age_s=recovered_age_s,
        changes=changes,
        is_complete=is_complete,
        era=view.era,
        withdrawn=withdrawn,
    )


def apply_server_changes(
    view: FeedView[PublishedServer],
    received: ServerChanges,
    *,
    now_s: float,
    recovered_s: float | None = None,
    grace_s: float = 0.0,
) -> FeedView[PublishedServer]:
    """Return the feed after relayed changes; the same object if they do not apply.

    All servers of a later era are applied as a listing of the restored store is, except
    to a stale listing, which gets the withdrawals only.
    """
    known = view.revision
    if received.era == view.era and known is not None:
        view = merge_withdrawals(view, received.withdrawn)
        if not received.after <= known < received.until:
            return view
        changes = _make_items(received)
        if received.is_complete:
            return apply_all_items(view, changes, received.until, now_s)[0]
        view, _ = apply_items(view, changes, received.until, now_s)
        # Other hosts that ask this one have to learn of the withdrawals too.
        names = {item.name: received.until for item in received.withdrawn}
        return evolve(view, revision=received.until, changed=view.changed.update(names))
    if not (received.is_complete and is_restored(view, received.era)):
        return view
    if view.is_stale:
        # Its servers may have left before the restore. The host lists fresh instead.
        return merge_withdrawals(view, received.withdrawn)
    view = begin_era(
        view, received.era, recovered_s=recovered_s, grace_s=grace_s, now_s=now_s
    )
    view = merge_withdrawals(view, received.withdrawn)
    view, _ = apply_all_items(view, _make_items(received), received.until, now_s)
    return view


def _list_changed(
    view: FeedView[PublishedServer], names: Iterable[str]
) -> tuple[ServerChange, ...]:
    """Return the states of servers, except of those whose entries are not used.

    Withdrawals say which process is not used; a host may know a later one. A changed
    server that is not known has left, also one that a first listing had.
    """
    return tuple(
        ServerChange(
            name=name, server=None if name in view.removed_s else view.items.get(name)
        )
        for name in names
        if name not in view.unrestored | view.refused
    )


def _make_items(
    received: ServerChanges,
) -> tuple[FeedItem[PublishedServer | None], ...]:
    return tuple(
        FeedItem(name=change.name, revision=received.until, content=change.server)
        for change in received.changes
    )
