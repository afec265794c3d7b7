"""Test that relayed changes give the same servers as the store."""

from typing import Any

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.decisions.confirmations import QueryStore
from snipespring.decisions.feeds import (
    adopt_stale_items,
    apply_listing,
    apply_watch_answer,
    confirm_view,
    list_active_servers,
)
from snipespring.decisions.first_reads import (
    AwaitFirstRelay,
    ConfirmFirstRead,
    check_first_configuration,
    check_first_servers,
)
from snipespring.decisions.server_relay import (
    MAX_CHANGES,
    AwaitRelay,
    answer_server_query,
    apply_server_changes,
    check_server_relay,
    make_server_mark,
    make_server_query,
    record_server_mark,
)
from snipespring.records import (
    Address,
    Configuration,
    DomainName,
    FeedChanges,
    FeedItem,
    FeedListing,
    FeedView,
    HostId,
    PublishedServer,
    RelayedVersion,
    ServerChanges,
    ServerMark,
    ServerQuery,
    ServiceName,
    StoreRelay,
)

HUB, OWN = HostId("hub"), HostId("own")
View = FeedView[PublishedServer]


def server(name: str, born_ms: int = 0) -> PublishedServer:
    return PublishedServer(
        instance=name,
        born_ms=born_ms,
        service=ServiceName("ledger"),
        address=Address(ip="10.0.0.1", port=80),
        domain=DomainName("a"),
        slots=3,
        is_draining=False,
        warmup_s=0.0,
    )


def item(name: str, revision: int, content: Any) -> FeedItem[Any]:
    return FeedItem(name=name, revision=revision, content=content)


def list_all(names: list[str], revision: int) -> View:
    listing = FeedListing(
        items=tuple(item(name, revision, server(name)) for name in names),
        revision=revision,
    )
    return apply_listing(FeedView(), listing, sent_s=0.0, now_s=0.0)[0]


def watch(view: View, revision: int, *changes: FeedItem[Any]) -> View:
    answer = FeedChanges(changes=changes, revision=revision)
    return apply_watch_answer(view, answer, sent_s=1.0, now_s=1.0)[0]


def answer(view: View, query: ServerQuery) -> ServerChanges | None:
    return answer_server_query(view, query, HUB, recovered_age_s=None)


def catch_up(view: View, hub: View) -> View:
    query = make_server_query(view, make_server_mark(hub), OWN)
    if query is None:
        return view
    changes = answer(hub, query)
    return view if changes is None else apply_server_changes(view, changes, now_s=2.0)


def active(view: View) -> dict[str, PublishedServer]:
    return {
        name: content
        for name, content in view.items.items()
        if name not in view.removed_s
    }


events = st.lists(
    st.tuples(
        st.sampled_from("abcdef"),
        st.one_of(st.none(), st.integers(1, 3)),
        st.sampled_from(("hub", "own", "both", "relay")),
    ),
    max_size=30,
)


@given(events=events)
def test_store_and_relay_in_any_order_give_the_servers_of_the_store(
    events: list[tuple[str, int | None, str]],
) -> None:
    truth: dict[str, PublishedServer] = {name: server(name) for name in "abc"}
    hub = own = list_all(list(truth), 1)
    log: list[FeedItem[Any]] = []
    for revision, (name, born_ms, step) in enumerate(events, start=2):
        content = None if born_ms is None else server(name, born_ms)
        log.append(item(name, revision, content))
        truth = {key: val for key, val in truth.items() if key != name}
        if content is not None:
            truth[name] = content
        if step in ("hub", "both"):
            hub = watch(hub, revision, *changes_after(log, hub))
        if step in ("own", "both"):
            own = watch(own, revision, *changes_after(log, own))
        if step == "relay":
            own = catch_up(own, hub)
            assert own.revision is not None
            assert hub.revision is not None
            assert own.revision >= hub.revision
    hub = watch(hub, len(events) + 1, *changes_after(log, hub))
    own = catch_up(own, hub)
    assert active(own) == active(hub) == truth


def changes_after(log: list[FeedItem[Any]], view: View) -> list[FeedItem[Any]]:
    return [change for change in log if change.revision > (view.revision or 0)]


def test_answer_of_the_store_older_than_the_relayed_changes_is_not_applied() -> None:
    hub = watch(list_all(["a"], 1), 3, item("a", 2, None), item("b", 3, server("b")))
    own = catch_up(list_all(["a"], 1), hub)
    own = watch(own, 2, item("a", 2, server("a", born_ms=1)))
    assert set(active(own)) == {"b"}
    assert own.revision == 3


def test_changes_after_a_later_revision_leave_a_gap_and_are_not_applied() -> None:
    hub = watch(list_all(["a"], 5), 6, item("a", 6, None))
    changes = answer(hub, ServerQuery(sender=OWN, after=5))
    assert changes is not None
    behind = list_all(["a"], 4)
    assert apply_server_changes(behind, changes, now_s=1.0) is behind


def test_a_host_does_not_answer_for_the_time_before_it_listed_the_servers() -> None:
    # Guards against servers that others used on because a host that started after they
    # had left passed on its changes as complete (DRAIN).
    behind = list_all(["a", "b"], 1)
    started_again = watch(list_all(["b"], 3), 4, item("c", 4, server("c")))
    assert catch_up(behind, started_again) is behind
    query = ServerQuery(sender=OWN, after=3)
    changes = answer(started_again, query)
    assert changes is not None
    assert [change.name for change in changes.changes] == ["c"]
    caught_up = watch(behind, 3, item("a", 2, None))
    assert set(active(catch_up(caught_up, started_again))) == {"b", "c"}


def test_a_complete_list_replaces_a_first_listing_of_any_age() -> None:
    # Guards against a stale first listing that is completed without the servers that
    # left or came before the hub began to watch, or that gives them a grace time.
    hub = watch(list_all(["b", "c"], 5), 6, item("d", 6, server("d")))
    names = [item(name, 2, server(name)) for name in "abx"]
    own = adopt_stale_items(FeedListing(items=tuple(names), revision=2))
    at_s = {"grace_s": 2.0, "now_s": 3.0}
    assert list_active_servers(own, recovered_s=2.5, **at_s) == ()
    assert make_server_mark(own) is None
    assert answer(own, ServerQuery(sender=OWN, after=1, is_first=True)) is None
    own = catch_up(own, hub)
    assert (own.revision, own.complete_after) == (6, 6)
    own = confirm_view(own, sent_s=2.0)
    assert set(active(own)) == {"b", "c", "d"}
    assert {
        entry.instance for entry in list_active_servers(own, recovered_s=2.5, **at_s)
    } == {"b", "c", "d"}


def test_a_complete_list_does_not_grow_with_the_servers_that_left() -> None:
    # Guards against hubs that complete no first listing after a day in which many
    # servers left, so that each host that starts lists fresh.
    left = [item(f"left{number}", 6, None) for number in range(MAX_CHANGES)]
    hub = watch(list_all(["b"], 5), 6, *left)
    first = FeedListing(items=(item("left0", 2, server("left0")),), revision=2)
    own = confirm_view(catch_up(adopt_stale_items(first), hub), sent_s=2.0)
    assert set(active(own)) == {"b"}
    assert own.revision == 6


def test_a_complete_list_of_another_era_completes_no_first_listing() -> None:
    # Guards against a stale first listing that a hub of another era confirms, and whose
    # servers get the grace of a restore although they may have left before it.
    hub = evolve(list_all(["b"], 5), era=1, withdrawn=Map({"c": 0}))
    names = [item(name, 7, server(name)) for name in "abc"]
    own = adopt_stale_items(FeedListing(items=tuple(names), revision=7))
    relay = record_server_mark(
        StoreRelay(relayed=RelayedVersion(version=1, confirmed_s=9.0, reached_s=9.0)),
        own,
        make_server_mark(hub),
        now_s=9.0,
    )
    late = record_server_mark(relay, own, ServerMark(revision=7), now_s=9.0)
    times = {"limit_s": 1.4, "latest_s": 12.0, "now_s": 9.5}
    assert check_first_servers(own, late, **times) == QueryStore()
    query = make_server_query(own, make_server_mark(hub), OWN)
    assert query == ServerQuery(sender=OWN, after=7, is_first=True)
    changes = answer(hub, query)
    assert changes is not None
    own = apply_server_changes(own, changes, now_s=9.5, grace_s=3.0)
    assert (own.era, own.revision, own.is_stale) == (0, 7, True)
    entries = tuple(item(name, 5, server(name)) for name in "bc")
    listing = FeedListing(items=entries, revision=5, era=1)
    own, _ = apply_listing(own, listing, sent_s=10.0, now_s=10.0, grace_s=3.0)
    listed = list_active_servers(own, recovered_s=9.9, grace_s=3.0, now_s=10.0)
    assert {entry.instance for entry in listed} == {"b"}


def test_a_first_listing_is_not_confirmed_before_it_has_the_withdrawals() -> None:
    # Guards against a host that starts after a restore and uses servers that left
    # before it, because the backup shows them and its revision is the newest.
    hub = evolve(list_all(["a", "b"], 5), era=1, withdrawn=Map({"a": 0}))
    items = tuple(item(name, 5, server(name)) for name in "ab")
    own = adopt_stale_items(FeedListing(items=items, revision=5, era=1))
    relay = StoreRelay(
        relayed=RelayedVersion(version=1, confirmed_s=9.0, reached_s=9.0),
        servers=make_server_mark(hub),
    )
    times = {"limit_s": 1.4, "latest_s": 12.0, "now_s": 9.5}
    assert isinstance(check_first_servers(own, relay, **times), AwaitFirstRelay)
    own = catch_up(own, hub)
    assert check_first_servers(own, relay, **times) == ConfirmFirstRead(sent_s=9.0)
    own = confirm_view(own, sent_s=9.0)
    listed = list_active_servers(own, recovered_s=9.0, grace_s=3.0, now_s=9.5)
    assert {entry.instance for entry in listed} == {"b"}


def test_a_first_configuration_is_confirmed_only_in_its_era() -> None:
    # Guards against a stale configuration that a hub of the restored store confirms,
    # and against one that an older version than the known one replaces.
    own = adopt_stale_items(
        FeedListing(items=(item("main", 7, Configuration(version=3)),), revision=7)
    )
    relay = StoreRelay(
        relayed=RelayedVersion(version=3, confirmed_s=9.0, reached_s=9.0),
        servers=ServerMark(revision=7),
    )
    times = {"limit_s": 3.6, "latest_s": 12.0, "now_s": 9.5}
    confirm = ConfirmFirstRead(sent_s=9.0)
    assert check_first_configuration(own, relay, **times) == confirm
    restored = evolve(relay, servers=ServerMark(revision=5, era=1))
    assert check_first_configuration(own, restored, **times) == QueryStore()
    stated = evolve(own, stated_version=4)
    decision = check_first_configuration(stated, relay, **times)
    assert isinstance(decision, AwaitFirstRelay)
    backup = FeedListing(
        items=(item("main", 5, Configuration(version=2)),), revision=5, era=1
    )
    own, _ = apply_listing(own, backup, sent_s=10.0, now_s=10.0, grace_s=3.0)
    assert own.items["main"].version == 3
    assert (own.confirmed_s, own.is_stale) == (None, False)


def test_a_server_that_came_and_left_unseen_is_passed_on_as_removed() -> None:
    hub = watch(list_all([], 1), 3, item("a", 3, None))
    middle = catch_up(list_all([], 1), hub)
    for sender in (hub, middle):
        own = watch(list_all([], 1), 2, item("a", 2, server("a")))
        assert active(catch_up(own, sender)) == {}


def test_too_many_changes_are_left_to_the_store() -> None:
    names = [f"s{number}" for number in range(MAX_CHANGES + 1)]
    changes = [item(name, 2, server(name)) for name in names]
    hub = watch(list_all([], 1), 2, *changes)
    query = ServerQuery(sender=OWN, after=1)
    assert answer(hub, query) is None


def test_relay_is_awaited_only_while_the_hub_reaches_the_store() -> None:
    view = list_all(["a"], 1)
    relay = StoreRelay(
        is_watcher=False,
        relayed=RelayedVersion(version=1, confirmed_s=9.0, reached_s=10.0),
    )
    at_s = {"limit_s": 1.4, "now_s": 11.0}
    assert check_server_relay(view, relay, **at_s) == AwaitRelay(next_check_s=11.4)
    assert check_server_relay(view, relay, limit_s=1.4, now_s=11.4) == QueryStore()
    watcher = evolve(relay, is_watcher=True)
    assert check_server_relay(view, watcher, **at_s) == QueryStore()
    assert check_server_relay(FeedView(), relay, **at_s) == QueryStore()


def test_host_that_stays_behind_queries_the_store() -> None:
    view, mark = list_all(["a"], 1), ServerMark(revision=3)
    relay = StoreRelay(
        is_watcher=False,
        relayed=RelayedVersion(version=1, confirmed_s=9.0, reached_s=10.0),
    )
    relay = record_server_mark(relay, view, mark, now_s=10.0)
    relay = record_server_mark(relay, view, ServerMark(revision=4), now_s=10.5)
    assert check_server_relay(view, relay, limit_s=1.4, now_s=10.7) == QueryStore()
    caught_up = evolve(view, revision=3)
    relay = record_server_mark(relay, caught_up, ServerMark(revision=4), now_s=10.8)
    match check_server_relay(caught_up, relay, limit_s=1.4, now_s=10.9):
        case AwaitRelay(next_check_s=next_check_s):
            assert next_check_s == pytest.approx(11.4)
        case QueryStore():
            raise AssertionError("the host has caught up with what it awaited")
