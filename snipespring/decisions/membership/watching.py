"""Decide which hosts watch the platform and how they back off after failures."""

from random import Random

from attrs import frozen

from ...records import Host, ObservedObject, Roster
from .placement import rank_hosts

__all__ = ["Relay", "Watch", "WatchDuty", "decide_watch", "draw_backoff_s"]

WATCHERS_PER_DOMAIN = 2
WATCHER_ROLE = "platform watcher"
# Other hosts call the platform once relayed observations are this old, plus a jitter.
TAKEOVER_AGE_S = 3.0
TAKEOVER_JITTER_S = 1.0
BACKOFF_BASE_S = 0.25


@frozen(kw_only=True)
class Watch:
    """Call the platform now and back off at most `max_backoff_s` after a failure."""

    max_backoff_s: float


@frozen(kw_only=True)
class Relay:
    """Rely on the watchers' relayed observations; check again after `pause_s`."""

    pause_s: float


WatchDuty = Watch | Relay

DESIGNATED_BACKOFF_S = 2.0
TAKEOVER_BACKOFF_S = 30.0


def decide_watch(
    *,
    own_host: Host,
    roster: Roster,
    relayed: ObservedObject | None,
    now_s: float,
    rng: Random,
) -> WatchDuty:
    """Return whether this host calls the platform or relies on other hosts.

    A host that is not designated takes over once relayed observations are stale.
    """
    if roster.hosts.get(own_host.host_id) != own_host or _is_designated(
        own_host, roster
    ):
        return Watch(max_backoff_s=DESIGNATED_BACKOFF_S)
    age_s = now_s - relayed.as_of_s if relayed is not None else TAKEOVER_AGE_S
    if age_s < TAKEOVER_AGE_S:
        jitter_s = rng.uniform(0.0, TAKEOVER_JITTER_S)
        return Relay(pause_s=TAKEOVER_AGE_S - age_s + jitter_s)
    return Watch(max_backoff_s=TAKEOVER_BACKOFF_S)


def draw_backoff_s(failures: int, *, max_s: float, rng: Random) -> float:
    """Draw a pause in seconds, exponential in successive failures with full jitter."""
    return rng.uniform(0.0, min(max_s, BACKOFF_BASE_S * 2.0 ** min(failures, 20)))


def _is_designated(own_host: Host, roster: Roster) -> bool:
    members = [host for host in roster.hosts.values() if host.domain == own_host.domain]
    return own_host in rank_hosts(members, WATCHER_ROLE)[:WATCHERS_PER_DOMAIN]
