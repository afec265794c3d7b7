"""A host relies on relayed confirmations only as far as these are true."""

from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.decisions.confirmations import (
    QueryStore,
    UseRelayedConfirmation,
    check_relay,
    make_confirmation,
    record_confirmation,
    set_watcher,
)
from snipespring.records import (
    Configuration,
    Confirmation,
    FeedView,
    RelayedVersion,
    StoreRelay,
)

LIMIT_S = 1.4


def feed(version: int, confirmed_s: float) -> FeedView[Configuration]:
    items = Map({"main": Configuration(version=version)})
    return FeedView(items=items, revision=7, confirmed_s=confirmed_s)


def relay(version: int, confirmed_s: float) -> StoreRelay:
    relayed = RelayedVersion(version=version, confirmed_s=confirmed_s)
    return StoreRelay(is_watcher=False, relayed=relayed)


def follow(
    view: FeedView[Configuration], held: StoreRelay, now_s: float = 20.0
) -> QueryStore | UseRelayedConfirmation:
    return check_relay(view, held, limit_s=LIMIT_S, now_s=now_s)


def test_watcher_asks_the_store() -> None:
    relayed = RelayedVersion(version=4, confirmed_s=19.9)
    assert follow(feed(4, 19.0), StoreRelay(relayed=relayed)) == QueryStore()


def test_relayed_version_that_is_held_confirms_it() -> None:
    relied = follow(feed(4, 10.0), relay(4, 19.5))
    assert relied == UseRelayedConfirmation(
        view=feed(4, 19.5), next_query_s=19.5 + LIMIT_S
    )


def test_newer_version_is_read_at_once() -> None:
    assert follow(feed(4, 19.9), relay(5, 19.9)) == QueryStore()


def test_older_version_confirms_nothing() -> None:
    assert follow(feed(5, 10.0), relay(4, 19.9)) == QueryStore()


def test_host_asks_once_no_confirmation_is_young() -> None:
    assert follow(feed(4, 10.0), relay(4, 18.5), now_s=19.9) == QueryStore()
    assert follow(feed(4, 10.0), StoreRelay(is_watcher=False)) == QueryStore()


@given(
    asked_s=st.floats(min_value=0.0, max_value=5.0),
    sent_s=st.floats(min_value=5.0, max_value=10.0),
    way_s=st.floats(min_value=0.0, max_value=30.0),
    way_back_s=st.floats(min_value=0.0, max_value=30.0),
)
def test_confirmation_is_never_taken_for_younger_than_it_is(
    asked_s: float, sent_s: float, way_s: float, way_back_s: float
) -> None:
    """The hub's question was sent at `asked_s`; messages and clocks may stop."""
    stated = make_confirmation(feed(4, asked_s), now_s=sent_s + way_s)
    heard = record_confirmation(StoreRelay(is_watcher=False), stated, sent_s=sent_s)
    assert heard.relayed is not None
    assert heard.relayed.confirmed_s <= asked_s + 1e-9
    relied = follow(feed(4, 0.0), heard, sent_s + way_s + way_back_s)
    if isinstance(relied, UseRelayedConfirmation):
        assert relied.view.confirmed_s is not None
        assert relied.view.confirmed_s <= asked_s + 1e-9


def test_confirmation_that_is_hardly_younger_changes_nothing() -> None:
    held = relay(4, 10.0)
    slightly = Confirmation(version=4, age_s=0.0)
    assert record_confirmation(held, slightly, sent_s=10.2) is held
    assert record_confirmation(held, slightly, sent_s=10.5) == relay(4, 10.5)
    newer = Confirmation(version=5, age_s=0.0)
    assert record_confirmation(held, newer, sent_s=10.1) == relay(5, 10.1)


def test_role_that_is_kept_wakes_nobody() -> None:
    held = relay(4, 10.0)
    assert set_watcher(held, is_watcher=False) is held
    assert set_watcher(held, is_watcher=True).is_watcher
