"""Decide which hosts call the store when it, or the relay of it, is silent.

Handles the load of an outage or of its end, when all hosts of a fleet lose the relay at
the same moment. Only probes, which cost least, are sent until the store has answered
one; what the store holds is then read by the hosts that watch for their domains.
"""

from random import Random

from attrs import frozen

from ..records import StoreReach, StoreRelay

__all__ = [
    "FirstHub",
    "NoHub",
    "SecondHub",
    "WatchDuty",
    "WatchRank",
    "choose_watch_duty",
    "draw_probe_pause_s",
    "earliest_call_s",
    "find_reach_s",
    "is_relay_old",
]

# The second hub watches the store if the first one has not reached it for this long.
# Probes every 0.5 s and reports every 0.25 s make the age of a sound relay up to 0.8 s.
# The other hosts act after 1.4 s, when the second hub has had time to tell them.
TAKEOVER_S = 0.9
# The second hub keeps watching this long, since its own reach returns to it by the
# digests of the first hub and says nothing of that one's.
DUTY_S = 5.0
# After an outage a host waits this long for its hubs, which probe every 0.5 s, read the
# configuration and pass it on within 0.25 s.
RECOVERY_WAIT_S = 1.0
MAX_PROBE_PAUSE_S = 2.0  # limits how late a host on its own notices a recovery
PAUSE_SPREAD = (0.75, 1.25)


@frozen(kw_only=True)
class FirstHub:
    """Name the hub that watches the store for its failure domain."""


@frozen(kw_only=True)
class SecondHub:
    """Name the hub that watches while the first one is cut off from the store."""


@frozen(kw_only=True)
class NoHub:
    """Name a host that never watches for others, or does not know the hosts yet."""


WatchRank = FirstHub | SecondHub | NoHub


@frozen(kw_only=True)
class WatchDuty:
    """Record whether a host watches the store, and until when at least."""

    is_watcher: bool = False
    until_s: float = 0.0


def choose_watch_duty(
    duty: WatchDuty,
    rank: WatchRank,
    relay: StoreRelay,
    reach: StoreReach,
    *,
    now_s: float,
) -> WatchDuty:
    """Return whether a host watches the store for its failure domain.

    The first hub does unless only the second one reaches the store.
    """
    relayed_s = None if relay.relayed is None else relay.relayed.reached_s
    match rank:
        case NoHub():
            return WatchDuty()
        case FirstHub():
            is_replaced = (
                relayed_s is not None
                and reach.reached_s is not None
                and not is_relay_old(relay, now_s=now_s)
                and reach.reached_s + TAKEOVER_S <= relayed_s
            )
            return WatchDuty(is_watcher=not is_replaced)
        case SecondHub():
            if duty.is_watcher and now_s < duty.until_s:
                return duty
            if relayed_s is None or not is_relay_old(relay, now_s=now_s):
                return WatchDuty()
            return WatchDuty(is_watcher=True, until_s=now_s + DUTY_S)


def is_relay_old(relay: StoreRelay, *, now_s: float) -> bool:
    """Return whether the relayed reach is so old that the watching host may be cut off.

    It is not before any relay.
    """
    relayed = relay.relayed
    return relayed is not None and now_s >= relayed.reached_s + TAKEOVER_S


def find_reach_s(relay: StoreRelay, reach: StoreReach) -> float | None:
    """Return when the store was last known to be reached, by this host or another."""
    relayed_s = None if relay.relayed is None else relay.relayed.reached_s
    if reach.reached_s is None or relayed_s is None:
        return relayed_s if reach.reached_s is None else reach.reached_s
    return max(reach.reached_s, relayed_s)


def earliest_call_s(
    relay: StoreRelay, reach: StoreReach, *, now_s: float
) -> float | None:
    """Return from when a host may read the store itself, None before a probe succeeds.

    A host that watches may at once. Another one may while the store is known to be
    reached, but after an outage leaves it to its hubs first.
    """
    reached_s = find_reach_s(relay, reach)
    if relay.is_watcher or reached_s is None:
        return now_s
    # At the begin of an outage, confirmations get too old before the reach does. The
    # margin of a sound relay tells this from a hub that lacks the configuration.
    if now_s >= reached_s + TAKEOVER_S:
        return None
    relayed_s = None if relay.available is None else relay.available.since_s
    times = (reach.recovered_s, relayed_s)
    recovered_s = max((time_s for time_s in times if time_s is not None), default=None)
    return now_s if recovered_s is None else max(now_s, recovered_s + RECOVERY_WAIT_S)


def draw_probe_pause_s(failures: int, *, interval_s: float, rng: Random) -> float:
    """Draw the pause in seconds after a failed probe of a host that does not watch."""
    longest_s = min(MAX_PROBE_PAUSE_S, interval_s * 2.0 ** min(failures, 8))
    return longest_s * rng.uniform(*PAUSE_SPREAD)
