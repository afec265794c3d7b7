"""Pass changes to the registered servers on from one host of a failure domain.

Revisions are those of the store, so that changes from several hosts can be combined.
"""

from attrs import evolve, frozen

from ..records import (
    AwaitedServers,
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

__all__ = [
    "AwaitRelay",
    "answer_server_query",
    "apply_server_changes",
    "check_server_relay",
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


def make_server_mark(view: FeedView[PublishedServer]) -> ServerMark | None:
    """Return up to which revision the servers are known, None before a confirmation."""
    if view.revision is None or view.is_stale:
        return None
    return ServerMark(revision=view.revision)


def make_server_query(
    view: FeedView[PublishedServer], mark: ServerMark | None, own_id: HostId
) -> ServerQuery | None:
    """Return the query for changes that another host knows, None if there are none."""
    if mark is None or view.revision is None or mark.revision <= view.revision:
        return None
    return ServerQuery(sender=own_id, after=view.revision, is_first=view.is_stale)


def record_server_mark(
    relay: StoreRelay,
    view: FeedView[PublishedServer],
    mark: ServerMark | None,
    *,
    now_s: float,
) -> StoreRelay:
    """Return the relay state after a digest; the same object if nothing changes."""
    awaited, known = relay.awaited, view.revision or 0
    if mark is not None and mark != relay.servers:
        relay = evolve(relay, servers=mark)
    if awaited is not None and awaited.revision > known:
        return relay
    if mark is not None and mark.revision > known:
        awaited = AwaitedServers(revision=mark.revision, since_s=now_s)
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

    None is returned too if changes are asked for that this host may not know, unless a
    complete list serves the sender.
    """
    if view.revision is None or view.revision <= query.after or view.is_stale:
        return None
    is_known = view.complete_after is not None and query.after >= view.complete_after
    if not is_known and not query.is_first:
        return None
    if is_known:
        names = [name for name, rev in view.changed.items() if rev > query.after]
    else:
        names = [name for name in view.items if name not in view.removed_s]
    changes = tuple(
        ServerChange(
            name=name,
            server=None if name in view.removed_s else view.items.get(name),
        )
        for name in names
    )
    if len(changes) > MAX_CHANGES:
        return None
    return ServerChanges(
        sender=own_id,
        after=query.after,
        until=view.revision,
        recovered_age_s=recovered_age_s,
        changes=changes,
        is_complete=not is_known,
    )


def apply_server_changes(
    view: FeedView[PublishedServer], received: ServerChanges, *, now_s: float
) -> FeedView[PublishedServer]:
    """Return the feed after relayed changes; the same object if they do not apply."""
    if view.revision is None or not received.after <= view.revision < received.until:
        return view
    items, removed, changed = view.items, view.removed_s, view.changed
    if received.is_complete:
        listed = {change.name for change in received.changes}
        for name in set(items) - listed - set(removed):
            removed = removed.set(name, now_s)
            changed = changed.set(name, received.until)
    for change in received.changes:
        name = change.name
        match change.server:
            case None:
                removed = removed if name in removed else removed.set(name, now_s)
            case server:
                items = items.set(name, server)
                removed = removed.delete(name) if name in removed else removed
        changed = changed.set(name, received.until)
    return evolve(
        view,
        items=items,
        removed_s=removed,
        changed=changed,
        revision=received.until,
        complete_after=received.until if received.is_complete else view.complete_after,
    )
