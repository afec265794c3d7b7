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
    FeedView,
    InvalidItem,
    PublishedServer,
    ServiceName,
)

GRACE_S = 1.8
View = FeedView[PublishedServer]


def make_server(
    name: str, *, draining: bool = False, born_ms: int = 1
) -> PublishedServer:
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


def make_item(
    name: str, content: PublishedServer | InvalidItem | None
) -> FeedItem[PublishedServer | None]:
    return FeedItem(name=name, revision=1, content=content)


def apply_names(*names: str, at_s: float = 0.0, view: View | None = None) -> View:
    items = tuple(
        FeedItem[PublishedServer](name=name, revision=1, content=make_server(name))
        for name in names
    )
    listing = FeedListing(items=items, revision=7)
    return apply_listing(view or FeedView(), listing, sent_s=at_s, now_s=at_s)[0]


def apply_changes(
    view: View, *changes: FeedItem[PublishedServer | None], at_s: float
) -> View:
    answer = FeedChanges(changes=changes, revision=8)
    return apply_watch_answer(view, answer, sent_s=at_s, now_s=at_s)[0]


def active_names(view: View, now_s: float, recovered_s: float | None = 0.0) -> set[str]:
    servers = list_active_servers(
        view, recovered_s=recovered_s, grace_s=GRACE_S, now_s=now_s
    )
    return {server.instance for server in servers}


def test_draining_or_removed_server_becomes_inactive_at_once() -> None:
    view = apply_names("a", "b", "c")
    view = apply_changes(
        view, make_item("a", make_server("a", draining=True)), at_s=50.0
    )
    view = apply_changes(view, make_item("b", None), at_s=50.0)
    assert active_names(view, 50.0) == {"c"}


def test_server_that_expired_during_an_outage_of_the_store_has_a_grace_period() -> None:
    view = apply_names("a", "b")
    view = apply_changes(view, make_item("a", None), at_s=60.0)
    assert active_names(view, 60.5, recovered_s=60.0) == {"a", "b"}
    assert active_names(view, 60.5, recovered_s=None) == {"b"}
    next_s = next_removal_s(view, recovered_s=60.0, grace_s=GRACE_S, now_s=60.5)
    assert next_s == 60.0 + GRACE_S
    assert active_names(view, 60.0 + GRACE_S, recovered_s=60.0) == {"b"}
    renewed = apply_changes(view, make_item("a", make_server("a")), at_s=61.0)
    assert active_names(renewed, 99.0, recovered_s=60.0) == {"a", "b"}
    next_s = next_removal_s(renewed, recovered_s=60.0, grace_s=GRACE_S, now_s=61.0)
    assert next_s == inf


def test_server_that_left_before_an_outage_stays_out_after_it() -> None:
    view = apply_names("a", "b")
    view = apply_changes(view, make_item("a", None), at_s=40.0)
    view = apply_changes(view, at_s=60.0)
    for now_s in (60.0, 60.5, 60.0 + GRACE_S, 99.0):
        assert active_names(view, now_s, recovered_s=60.0) == {"b"}
    next_s = next_removal_s(view, recovered_s=60.0, grace_s=GRACE_S, now_s=60.0)
    assert next_s == inf


def test_listing_after_a_gap_removes_missing_items() -> None:
    view = apply_names("a", "b")
    view, _ = apply_watch_answer(view, FeedGap(), sent_s=50.0, now_s=50.0)
    assert view.revision is None
    assert active_names(apply_names("b", at_s=51.0, view=view), 51.0) == {"b"}


def test_invalid_item_removes_its_server_and_no_other() -> None:
    view = apply_names("a", "b")
    answer = FeedChanges(
        changes=(make_item("a", InvalidItem(reason="State: unknown")),), revision=9
    )
    view, skipped = apply_watch_answer(view, answer, sent_s=50.0, now_s=50.0)
    assert [skip.name for skip in skipped] == ["a"]
    assert active_names(view, 50.0) == {"b"}


def test_restarted_server_of_the_same_name_is_a_new_server() -> None:
    first = group_servers_by_service((make_server("a", born_ms=1),), {}, now_s=0.0)  # type: ignore[arg-type]
    second = group_servers_by_service((make_server("a", born_ms=2),), first, now_s=1.0)
    ids = [rules[0].server for rules in (*first.values(), *second.values())]
    assert ids[0] != ids[1]
