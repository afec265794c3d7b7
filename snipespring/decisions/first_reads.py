"""Decide when the reads of a host's start are complete.

Handles the load on the store when many hosts start at once: each host reads a stale
listing, which costs least, and the hubs of its failure domain complete it. A host asks
for fresh data only if it watches for its domain, or if no hub completes the listing.
"""

from typing import Any, TypeVar

from attrs import evolve, frozen

from ..records import Configuration, FeedView, HostId, PublishedHost, StoreRelay
from .confirmations import QueryStore, ReadNewerVersion

__all__ = [
    "AwaitFirstRelay",
    "ConfirmFirstRead",
    "FirstReadLimits",
    "check_first_configuration",
    "check_first_servers",
    "has_stopped_growing",
    "is_hub_restored",
    "latest_fresh_read_s",
    "mark_unsettled",
]

T = TypeVar("T")

CHECK_INTERVAL_S = 0.1  # how often a host checks whether its listing is complete


@frozen(kw_only=True)
class FirstReadLimits:
    """Limit in seconds how long a host waits for a hub to complete its listings.

    `relay_s` counts from the time at which the hosts of the fleet are known, and
    covers a first hub that is silent for 1 s before the second one replaces it.
    `hosts_s` counts from the start. Fresh reads are spread over `spread_s`.
    """

    relay_s: float = 1.5
    hosts_s: float = 3.0
    spread_s: float = 0.5


@frozen(kw_only=True)
class AwaitFirstRelay:
    """Wait for a hub; check again at `next_check_s` at the latest."""

    next_check_s: float


@frozen(kw_only=True)
class ConfirmFirstRead:
    """Use a stale listing that a hub has completed and confirmed.

    The confirming request was sent at the local time `sent_s` or later.
    """

    sent_s: float


def latest_fresh_read_s(
    hosts: FeedView[PublishedHost],
    limits: FirstReadLimits,
    *,
    started_s: float,
    share: float,
) -> float:
    """Return when a host asks for fresh data itself; `share` of 0 to 1 spreads it."""
    latest_s = started_s + limits.hosts_s + limits.relay_s
    if hosts.confirmed_s is not None:
        latest_s = min(latest_s, hosts.confirmed_s + limits.relay_s)
    return latest_s + share * limits.spread_s


def check_first_configuration(
    view: FeedView[Configuration],
    relay: StoreRelay,
    *,
    limit_s: float,
    latest_s: float,
    now_s: float,
) -> QueryStore | ReadNewerVersion | AwaitFirstRelay | ConfirmFirstRead:
    """Return how to confirm a stale configuration.

    A relayed confirmation of the same version confirms it unless it is older than
    `limit_s` seconds, from a hub of another era, or a newer version was stated.
    """
    if relay.is_watcher or now_s >= latest_s or _is_outdated(view, relay):
        return QueryStore()
    version = max((cfg.version for cfg in view.items.values()), default=0)
    relayed = relay.relayed
    if relayed is not None and relayed.version > version:
        return ReadNewerVersion(version=relayed.version)
    if (
        relayed is not None
        and relayed.version == version >= view.stated_version
        and (relay.servers is None or relay.servers.era == view.era)
        and now_s < relayed.confirmed_s + limit_s
    ):
        return ConfirmFirstRead(sent_s=relayed.confirmed_s)
    return AwaitFirstRelay(next_check_s=min(latest_s, now_s + CHECK_INTERVAL_S))


def check_first_servers(
    view: FeedView[T],
    relay: StoreRelay,
    *,
    limit_s: float,
    latest_s: float,
    now_s: float,
) -> QueryStore | AwaitFirstRelay | ConfirmFirstRead:
    """Return how to complete a stale listing of servers.

    It is complete once it has every change that a hub which reached the store within
    `limit_s` seconds knows of in the same era, and all of its withdrawals. Later
    changes are announced by that hub.
    """
    if relay.is_watcher or now_s >= latest_s or _is_outdated(view, relay):
        return QueryStore()
    awaited = relay.awaited
    relayed, mark, known = relay.relayed, relay.servers, (view.era, view.revision or 0)
    if (
        relayed is not None
        and mark is not None
        and mark.era == view.era
        and (mark.era, mark.revision) <= known
        and mark.withdrawn <= len(view.withdrawn)
        and (awaited is None or (awaited.era, awaited.revision) <= known)
        and now_s < relayed.reached_s + limit_s
    ):
        return ConfirmFirstRead(sent_s=relayed.reached_s)
    return AwaitFirstRelay(next_check_s=min(latest_s, now_s + CHECK_INTERVAL_S))


def is_hub_restored(view: FeedView[Any], relay: StoreRelay) -> bool:
    """Return whether a hub has a later era of the store than the first listing."""
    return relay.servers is not None and relay.servers.era > view.era


def _is_outdated(view: FeedView[Any], relay: StoreRelay) -> bool:
    """Return whether a first listing precedes a restore, so that no hub confirms it."""
    return view.revision is None or is_hub_restored(view, relay)


def has_stopped_growing(
    earlier: FeedView[PublishedHost], later: FeedView[PublishedHost], own_id: HostId
) -> bool:
    """Return whether a listing of hosts has this one and none that is new."""
    return own_id in later.items and set(earlier.items) == set(later.items)


def mark_unsettled(view: FeedView[PublishedHost]) -> FeedView[PublishedHost]:
    """Return the listed hosts while more are expected, so that none watches alone."""
    return evolve(view, confirmed_s=None, is_stale=True)
