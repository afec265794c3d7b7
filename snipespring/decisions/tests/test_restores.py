"""Test that nothing in force reverts when the store returns from a backup."""

from typing import Any

import pytest
from immutables import Map

from snipespring.decisions.confirmations import (
    QueryStore,
    RelayLimits,
    UseRelayedConfirmation,
    adopt_stale_listing,
    adopt_stated_version,
    check_relay,
    make_confirmation,
    record_confirmation,
    record_stated_version,
)
from snipespring.decisions.feeds import (
    apply_listing,
    apply_watch_answer,
    list_active_servers,
)
from snipespring.decisions.server_relay import (
    answer_server_query,
    apply_server_changes,
    is_of_earlier_era,
    make_server_mark,
    make_server_query,
    record_server_mark,
)
from snipespring.records import (
    Address,
    Configuration,
    DomainName,
    FeedChanges,
    FeedGap,
    FeedItem,
    FeedListing,
    FeedView,
    HostId,
    PublishedServer,
    ServiceName,
    StoreReach,
    StoreRelay,
)

GRACE_S = 3.0  # two heartbeats
LIMITS = RelayLimits(confirmed_s=3.6, reached_s=1.4)
View = FeedView[PublishedServer]


def server(name: str, born_ms: int = 5, *, drains: bool = False) -> PublishedServer:
    return PublishedServer(
        instance=name,
        born_ms=born_ms,
        service=ServiceName("ledger"),
        address=Address(ip="10.0.0.1", port=1),
        domain=DomainName("a"),
        slots=3,
        is_draining=drains,
        warmup_s=0.0,
    )


def list_items(view: Any, era: int, now_s: float, *contents: Any) -> Any:
    """Apply a listing of servers or configurations at revision 7 of an era."""
    items = tuple(
        FeedItem(name=getattr(item, "instance", "main"), revision=7, content=item)
        for item in contents
    )
    listing = FeedListing(items=items, revision=7, era=era)
    return apply_listing(view, listing, sent_s=now_s, now_s=now_s, grace_s=GRACE_S)[0]


def watch(view: Any, era: int, now_s: float, **contents: Any) -> Any:
    changes = tuple(
        FeedItem(name=name, revision=8, content=content)
        for name, content in contents.items()
    )
    answer = FeedChanges(changes=changes, revision=(view.revision or 0) + 1, era=era)
    return apply_watch_answer(view, answer, sent_s=now_s, now_s=now_s)[0]


def active(view: View, now_s: float) -> set[str]:
    found = list_active_servers(view, recovered_s=None, grace_s=1.8, now_s=now_s)
    return {server.instance for server in found}


def relay(view: Any, hub: View, now_s: float) -> Any:
    """Let a host ask its hub for what the hub's mark announces."""
    query = make_server_query(view, make_server_mark(hub), HostId("own"))
    if query is None:
        return view
    changes = answer_server_query(hub, query, HostId("hub"), recovered_age_s=None)
    if changes is None:
        return view
    return apply_server_changes(view, changes, now_s=now_s, grace_s=GRACE_S)


def make_host() -> Any:
    """Return the servers of a host before a restore: b left, c drains, d is new."""
    view = list_items(FeedView(), 0, 1.0, *map(server, "abc"))
    return watch(view, 0, 50.0, b=None, c=server("c", drains=True), d=server("d"))


def test_left_and_draining_servers_stay_out_and_missing_ones_in() -> None:
    # Guards against requests to servers that the backup still lists as ready, and
    # against running servers that are dropped until they write their entries again.
    view = list_items(make_host(), 1, 100.0, *map(server, "abc"))
    assert active(view, 102.9) == {"a", "d"}
    assert active(view, 103.1) == {"a"}
    view = watch(view, 1, 104.0, d=server("d"), b=server("b"), c=server("c"))
    assert active(view, 104.0) == {"a", "d"}
    view = watch(view, 1, 105.0, b=server("b", 6), c=server("c", 6))
    assert active(view, 105.0) == {"a", "b", "c", "d"}
    assert not view.withdrawn


def test_server_that_leaves_after_a_restore_goes_at_once() -> None:
    view = list_items(make_host(), 1, 100.0, *map(server, "abc"))
    view = watch(view, 1, 101.0, a=None)
    assert active(view, 101.0) == {"d"}
    drained = watch(view, 1, 101.0, d=server("d", drains=True))
    assert active(watch(drained, 1, 101.5, d=server("d")), 101.5) == set()


def test_entry_of_an_earlier_process_does_not_replace_the_running_one() -> None:
    view = list_items(FeedView(), 0, 1.0, server("a", 9))
    view = list_items(view, 1, 100.0, server("a", 5))
    assert view.items["a"].born_ms == 9
    assert (active(view, 102.9), active(view, 103.1)) == ({"a"}, set())
    assert active(watch(view, 1, 104.0, a=server("a", 9)), 104.0) == {"a"}


@pytest.mark.parametrize("pause_s", [1.0, 60.0])
def test_two_restores_in_a_row(pause_s: float) -> None:
    # Guards against a server that was only missing after the first restore and counts
    # as removed after the second.
    view = list_items(make_host(), 1, 100.0, *map(server, "abc"))
    again_s = 100.0 + pause_s
    view = list_items(view, 2, again_s, *map(server, "abc"))
    assert active(view, again_s) == ({"a", "d"} if pause_s < GRACE_S else {"a"})
    assert active(watch(view, 2, again_s, d=server("d")), again_s) == {"a", "d"}


def test_answers_of_an_earlier_era_are_ignored() -> None:
    view = list_items(make_host(), 1, 100.0, server("a"))
    assert list_items(view, 0, 101.0, *map(server, "abcd")) == view
    gap = apply_watch_answer(view, FeedGap(era=0), sent_s=101.0, now_s=101.0)[0]
    assert watch(view, 0, 101.0, b=server("b")) == gap == view
    assert watch(view, 2, 101.0).revision is None


def test_host_takes_the_servers_of_a_later_era_from_its_hub() -> None:
    # Guards against all hosts of a fleet listing the servers after a restore.
    own, hub = make_host(), list_items(make_host(), 1, 100.0, *map(server, "abc"))
    mark = make_server_mark(hub)
    awaiting = record_server_mark(StoreRelay(), own, mark, now_s=100.0)
    assert is_of_earlier_era(own, awaiting)
    own = relay(own, hub, 100.5)
    assert (own.era, own.revision, active(own, 101.0)) == (1, 7, {"a", "d"})
    assert active(own, 103.6) == {"a"}
    assert record_server_mark(awaiting, own, mark, now_s=101.0).awaited is None
    hub = watch(hub, 1, 104.0, d=server("d"))
    assert active(relay(own, hub, 104.0), 104.0) == {"a", "d"}


def test_host_that_is_ahead_by_an_era_neither_asks_nor_answers() -> None:
    hub, own = make_host(), list_items(make_host(), 1, 100.0, server("a"))
    assert hub.revision is not None
    assert own.revision < hub.revision
    assert relay(own, hub, 101.0) is own
    awaiting = record_server_mark(StoreRelay(), own, make_server_mark(hub), now_s=101.0)
    assert awaiting.awaited is None
    query = make_server_query(own, make_server_mark(own), HostId("own"))
    assert query is None


def test_host_that_restarts_during_a_restore_learns_what_left() -> None:
    # Guards against a new process that trusts the backup's entry of a server that left.
    own = list_items(FeedView(), 1, 100.0, *map(server, "abc"))
    assert active(own, 100.0) == {"a", "b", "c"}
    hub = list_items(make_host(), 1, 100.0, *map(server, "abc"))
    own = relay(own, hub, 100.2)
    assert active(own, 100.2) == {"a"}
    assert make_server_query(own, make_server_mark(hub), HostId("own")) is None


def cfg(version: int) -> Configuration:
    return Configuration(version=version)


def test_lost_configuration_confirms_nothing_until_it_is_written_again() -> None:
    # Guards against a lease that an older configuration extends, with which withdrawn
    # keys work again.
    view = list_items(FeedView(), 0, 90.0, cfg(7))
    for era, contents in ((1, (cfg(6),)), (2, ())):
        view = list_items(view, era, 100.0 + era, *contents)
        view = watch(view, era, 103.0)
        assert (view.items["main"], view.confirmed_s) == (cfg(7), 90.0)
    assert adopt_stale_listing(view, FeedListing(items=(), revision=9), 6) is None
    view = watch(view, 2, 104.0, main=cfg(7))
    assert view.confirmed_s == 104.0
    assert watch(view, 2, 105.0, main=cfg(6)).confirmed_s == 104.0


def test_restarted_host_is_not_confirmed_below_a_version_that_others_state() -> None:
    view = list_items(FeedView(), 1, 100.0, cfg(6))
    told = record_stated_version(StoreRelay(is_watcher=True), 7)
    view = adopt_stated_version(view, told)
    assert watch(view, 1, 101.0).confirmed_s == 100.0
    sent = make_confirmation(view, told, StoreReach(reached_s=101.0), now_s=101.0)
    assert sent is not None
    assert (sent.stated_version, sent.is_store_behind) == (7, True)
    assert watch(view, 1, 102.0, main=cfg(7)).confirmed_s == 102.0


@pytest.mark.parametrize("own_version", [6, 7])
def test_hosts_leave_the_search_for_a_lost_version_to_the_watching_host(
    own_version: int,
) -> None:
    # Guards against calls of all hosts for as long as the operator has not written the
    # configuration again.
    hub = watch(list_items(list_items(FeedView(), 0, 9.0, cfg(7)), 1, 100.0), 1, 105.0)
    sent = make_confirmation(
        hub, StoreRelay(), StoreReach(reached_s=105.0), now_s=105.0
    )
    told = record_confirmation(StoreRelay(), sent, sent_s=105.0)
    own = FeedView(
        items=Map({"main": cfg(own_version)}),
        confirmed_s=9.0,
        unrestored=frozenset({"main"}),
    )
    waiting = UseRelayedConfirmation(view=own, next_query_s=105.0 + LIMITS.reached_s)
    assert check_relay(own, told, LIMITS, now_s=106.0) == waiting
    silent = check_relay(own, told, LIMITS, now_s=107.0)
    assert silent != waiting
    if own_version == 7:
        assert silent == QueryStore()
        hub = watch(hub, 1, 107.0, main=cfg(7))
        sent = make_confirmation(hub, StoreRelay(), StoreReach(), now_s=107.0)
        told = record_confirmation(told, sent, sent_s=107.0)
        result = check_relay(own, told, LIMITS, now_s=107.0)
        assert isinstance(result, UseRelayedConfirmation)
        assert result.view.confirmed_s == 107.0
