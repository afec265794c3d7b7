from math import inf

from snipespring.decisions.catalog import group_servers_by_service
from snipespring.decisions.feeds import (
    apply_listing,
    apply_watch_answer,
    list_active_servers,
    next_removal_s,
)
from snipespring.records import (
    Address,
    DomainName,
    FeedChanges,
    FeedGap,
    FeedItem,
    FeedListing,
    FeedUnavailable,
    FeedView,
    InvalidItem,
    PublishedServer,
    ServiceName,
)

GRACE_S = 1.8
View = FeedView[PublishedServer]


def entry(name: str, *, draining: bool = False, born_ms: int = 1) -> PublishedServer:
    return PublishedServer(
        instance=name,
        born_ms=born_ms,
        service=ServiceName("ledger"),
        address=Address(ip="10.0.0.1", port=1),
        domain=DomainName("near"),
        slots=3,
        is_draining=draining,
        warmup_s=0.0,
    )


def item(
    name: str, content: PublishedServer | InvalidItem | None
) -> FeedItem[PublishedServer | None]:
    return FeedItem(name=name, revision=1, content=content)


def listed(*names: str, at_s: float = 0.0, view: View | None = None) -> View:
    items = tuple(
        FeedItem[PublishedServer](name=name, revision=1, content=entry(name))
        for name in names
    )
    listing = FeedListing(items=items, revision=7)
    return apply_listing(view or FeedView(), listing, sent_s=at_s, now_s=at_s)[0]


def changed(
    view: View, *changes: FeedItem[PublishedServer | None], at_s: float
) -> View:
    answer = FeedChanges(changes=changes, revision=8)
    return apply_watch_answer(view, answer, sent_s=at_s, now_s=at_s)[0]


def names(view: View, now_s: float) -> set[str]:
    servers = list_active_servers(view, grace_s=GRACE_S, now_s=now_s)
    return {server.instance for server in servers}


def test_server_that_drains_or_is_removed_leaves_at_once() -> None:
    view = listed("a", "b", "c")
    view = changed(view, item("a", entry("a", draining=True)), at_s=50.0)
    view = changed(view, item("b", None), at_s=50.0)
    assert names(view, 50.0) == {"c"}


def test_server_that_lapsed_while_the_store_was_away_has_a_grace() -> None:
    view = listed("a", "b")
    view, _ = apply_watch_answer(
        view, FeedUnavailable(reason="away"), sent_s=50.0, now_s=50.0
    )
    view = changed(view, item("a", None), at_s=60.0)
    assert names(view, 60.5) == {"a", "b"}
    assert next_removal_s(view, grace_s=GRACE_S, now_s=60.5) == 60.0 + GRACE_S
    assert names(view, 60.0 + GRACE_S) == {"b"}
    back = changed(view, item("a", entry("a")), at_s=61.0)
    assert names(back, 99.0) == {"a", "b"}
    assert next_removal_s(back, grace_s=GRACE_S, now_s=61.0) == inf


def test_listing_after_a_gap_removes_what_it_lacks() -> None:
    view = listed("a", "b")
    view, _ = apply_watch_answer(view, FeedGap(), sent_s=50.0, now_s=50.0)
    assert view.revision is None
    assert names(listed("b", at_s=51.0, view=view), 51.0) == {"b"}


def test_foreign_item_names_no_server_and_the_others_hold() -> None:
    view = listed("a", "b")
    answer = FeedChanges(
        changes=(item("a", InvalidItem(reason="State: unknown")),), revision=9
    )
    view, skipped = apply_watch_answer(view, answer, sent_s=50.0, now_s=50.0)
    assert [one.name for one in skipped] == ["a"]
    assert names(view, 50.0) == {"b"}


def test_failed_call_confirms_nothing() -> None:
    view = listed("a", at_s=10.0)
    view, _ = apply_watch_answer(
        view, FeedUnavailable(reason="away"), sent_s=20.0, now_s=21.0
    )
    assert view.confirmed_s == 10.0
    assert names(view, 21.0) == {"a"}


def test_server_that_starts_again_under_its_name_is_a_new_one() -> None:
    first = group_servers_by_service((entry("a", born_ms=1),), {}, now_s=0.0)  # type: ignore[arg-type]
    again = group_servers_by_service((entry("a", born_ms=2),), first, now_s=1.0)
    rules = [rules[0].server for rules in (*first.values(), *again.values())]
    assert rules[0] != rules[1]
