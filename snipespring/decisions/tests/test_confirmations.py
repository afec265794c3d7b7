"""Relayed confirmations never count as newer than they are."""

from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from snipespring.decisions.confirmations import (
    QueryStore,
    ReadNewerVersion,
    RelayLimits,
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
    StoreReach,
    StoreRelay,
)

LIMITS = RelayLimits(confirmed_s=3.6, reached_s=1.4)


def make_feed(version: int, confirmed_s: float) -> FeedView[Configuration]:
    items = Map({"main": Configuration(version=version)})
    return FeedView(items=items, revision=7, confirmed_s=confirmed_s)


def make_relay(
    version: int, confirmed_s: float, reached_s: float | None = None
) -> StoreRelay:
    relayed = RelayedVersion(
        version=version,
        confirmed_s=confirmed_s,
        reached_s=confirmed_s if reached_s is None else reached_s,
    )
    return StoreRelay(is_watcher=False, relayed=relayed)


def check(
    view: FeedView[Configuration], relay: StoreRelay, now_s: float = 20.0
) -> QueryStore | ReadNewerVersion | UseRelayedConfirmation:
    return check_relay(view, relay, LIMITS, now_s=now_s)


def test_watcher_queries_the_store() -> None:
    relayed = RelayedVersion(version=4, confirmed_s=19.9, reached_s=19.9)
    relay = StoreRelay(is_watcher=True, relayed=relayed)
    assert check(make_feed(4, 19.0), relay) == QueryStore()


def test_relayed_current_version_confirms_the_feed() -> None:
    result = check(make_feed(4, 10.0), make_relay(4, 19.5))
    assert result == UseRelayedConfirmation(
        view=make_feed(4, 19.5), next_query_s=19.5 + LIMITS.reached_s
    )


def test_newer_version_is_queried_at_once() -> None:
    assert check(make_feed(4, 19.9), make_relay(5, 19.9)) == ReadNewerVersion(version=5)


def test_older_version_does_not_confirm_the_feed() -> None:
    assert check(make_feed(5, 10.0), make_relay(4, 19.9)) == QueryStore()


def test_host_queries_the_store_once_all_confirmations_are_old() -> None:
    assert check(make_feed(4, 10.0), make_relay(4, 18.5), now_s=19.9) == QueryStore()
    assert check(make_feed(4, 10.0), StoreRelay(is_watcher=False)) == QueryStore()


@given(
    queried_s=st.floats(min_value=0.0, max_value=5.0),
    reached_s=st.none() | st.floats(min_value=0.0, max_value=5.0),
    sent_s=st.floats(min_value=5.0, max_value=10.0),
    delay_s=st.floats(min_value=0.0, max_value=30.0),
    return_delay_s=st.floats(min_value=0.0, max_value=30.0),
)
def test_confirmation_never_counts_as_newer_than_it_is(
    queried_s: float,
    reached_s: float | None,
    sent_s: float,
    delay_s: float,
    return_delay_s: float,
) -> None:
    """Check a hub that queried at `queried_s`; messages and clocks may stall."""
    confirmation = make_confirmation(
        make_feed(4, queried_s),
        StoreRelay(),
        StoreReach(reached_s=reached_s),
        now_s=sent_s + delay_s,
    )
    recorded = record_confirmation(
        StoreRelay(is_watcher=False), confirmation, sent_s=sent_s
    )
    assert recorded.relayed is not None
    assert recorded.relayed.confirmed_s <= queried_s + 1e-9
    assert recorded.relayed.reached_s <= max(queried_s, reached_s or 0.0) + 1e-9
    result = check(make_feed(4, 0.0), recorded, sent_s + delay_s + return_delay_s)
    if isinstance(result, UseRelayedConfirmation):
        assert result.view.confirmed_s is not None
        assert result.view.confirmed_s <= queried_s + 1e-9


def test_probes_of_the_watching_host_bridge_a_long_watch() -> None:
    view, relay = make_feed(4, 10.0), make_relay(4, 17.0, reached_s=19.5)
    result = check(view, relay)
    assert isinstance(result, UseRelayedConfirmation)
    assert result.view.confirmed_s == 17.0
    assert result.next_query_s == 17.0 + LIMITS.confirmed_s
    assert check(view, make_relay(4, 17.0, reached_s=18.5)) == QueryStore()
    assert check(view, make_relay(4, 16.0, reached_s=19.9)) == QueryStore()


def test_slightly_newer_confirmation_is_not_recorded() -> None:
    relay = make_relay(4, 10.0)
    refreshed = Confirmation(version=4, age_s=0.0, reached_age_s=0.0)
    assert record_confirmation(relay, refreshed, sent_s=10.05) is relay
    assert record_confirmation(relay, refreshed, sent_s=10.5) == make_relay(4, 10.5)
    newer = Confirmation(version=5, age_s=0.0, reached_age_s=0.0)
    assert record_confirmation(relay, newer, sent_s=10.1) == make_relay(5, 10.1)


def test_unchanged_role_returns_the_same_relay() -> None:
    relay = make_relay(4, 10.0)
    assert set_watcher(relay, is_watcher=False) is relay
    assert set_watcher(relay, is_watcher=True).is_watcher
